#ifndef AZURESPINDLE_HTTP_INTERNAL_RECEIVED_BODY_H
#define AZURESPINDLE_HTTP_INTERNAL_RECEIVED_BODY_H

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>

namespace azurespindle::http::internal {

/// Body type for the parser: a string that grows with what has arrived. A declared length bounds
/// the memory, but none is allocated for bytes that have not been sent.
struct ReceivedBody
{
    using value_type = std::string;

    class reader // NOLINT(readability-identifier-naming): the parser requires this name.
    {
    public:
        template<bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields> &, value_type &body) : body(body)
        { }

        void init(const boost::optional<std::uint64_t> &length, boost::beast::error_code &error)
        {
            this->largest = length.value_or(std::numeric_limits<std::size_t>::max());
            error = {};
        }

        template<class Buffers>
        std::size_t put(const Buffers &buffers, boost::beast::error_code &error)
        {
            const std::size_t extra = boost::asio::buffer_size(buffers);
            const std::size_t size = this->body.size() + extra;
            if (size > this->body.capacity()) {
                const std::size_t doubled = std::min(this->body.capacity() * 2, this->largest);
                this->body.reserve(std::max(size, doubled));
            }
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                this->body.append(static_cast<const char *>(buffer.data()), buffer.size());
            }
            error = {};
            return extra;
        }

        void finish(boost::beast::error_code &error) { error = {}; }

    private:
        value_type &body;
        std::size_t largest = 0; ///< Declared length of the body.
    };
};

} // namespace azurespindle::http::internal

#endif
