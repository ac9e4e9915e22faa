#ifndef AZURESPINDLE_HTTP_INTERNAL_COUNTED_BYTES_H
#define AZURESPINDLE_HTTP_INTERNAL_COUNTED_BYTES_H

#include <atomic>
#include <cstddef>
#include <memory>
#include <utility>

namespace azurespindle::http::internal {

/// The allocated size of one buffer, counted in a shared sum for as long as this object exists.
class CountedBytes
{
public:
    CountedBytes() = default;
    explicit CountedBytes(std::shared_ptr<std::atomic<std::size_t>> sum) : sum(std::move(sum)) { }
    ~CountedBytes() { this->set(0); }
    CountedBytes(CountedBytes &&other) noexcept
        : sum(std::move(other.sum)), bytes(std::exchange(other.bytes, 0))
    { }
    CountedBytes(const CountedBytes &) = delete;
    CountedBytes &operator=(const CountedBytes &) = delete;
    CountedBytes &operator=(CountedBytes &&) = delete;

    /// Replaces the size that is counted, in bytes.
    void set(std::size_t size)
    {
        if (this->sum != nullptr) {
            *this->sum += size - this->bytes; // Wraps around if the size shrinks.
            this->bytes = size;
        }
    }

private:
    std::shared_ptr<std::atomic<std::size_t>> sum;
    std::size_t bytes = 0;
};

} // namespace azurespindle::http::internal

#endif
