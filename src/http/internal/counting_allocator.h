#ifndef AZURESPINDLE_HTTP_INTERNAL_COUNTING_ALLOCATOR_H
#define AZURESPINDLE_HTTP_INTERNAL_COUNTING_ALLOCATOR_H

#include <cstddef>
#include <memory>

namespace azurespindle::http::internal {

/// Allocator that adds what it has allocated to a counter, in bytes. The counter must outlive all
/// that is allocated, and belongs to one thread.
template<typename Value> class CountingAllocator
{
public:
    using value_type = Value;

    explicit CountingAllocator(std::size_t &counter) : counter(&counter) { }
    template<typename Other>
    CountingAllocator(const CountingAllocator<Other> &other) : counter(other.counter)
    { }

    Value *allocate(std::size_t count)
    {
        Value *memory = std::allocator<Value>().allocate(count);
        *this->counter += count * sizeof(Value);
        return memory;
    }

    void deallocate(Value *memory, std::size_t count)
    {
        *this->counter -= count * sizeof(Value);
        std::allocator<Value>().deallocate(memory, count);
    }

    template<typename Other> bool operator==(const CountingAllocator<Other> &other) const
    {
        return this->counter == other.counter;
    }

private:
    template<typename> friend class CountingAllocator;

    std::size_t *counter;
};

} // namespace azurespindle::http::internal

#endif
