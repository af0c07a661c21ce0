#pragma once

#include "metric_table.hpp"

#include <kj/async-io.h>

namespace galenabay::daemon
{

/// Wraps a connection between hosts and counts its bytes as control traffic. Owned by the control thread.
class counting_stream final : public kj::AsyncIoStream
{
public:
    counting_stream(kj::Own<kj::AsyncIoStream> inner, metric_table& metrics) : inner_{kj::mv(inner)}, metrics_{metrics}
    {
    }

    // The names below are those of the overridden library functions.
    // NOLINTBEGIN(readability-identifier-naming)
    kj::Promise<size_t> read(void* buffer, size_t minBytes, size_t maxBytes) override
    {
        return inner_->read(buffer, minBytes, maxBytes).then([this](size_t amount) { return received(amount); });
    }
    kj::Promise<size_t> tryRead(void* buffer, size_t minBytes, size_t maxBytes) override
    {
        return inner_->tryRead(buffer, minBytes, maxBytes).then([this](size_t amount) { return received(amount); });
    }
    kj::Promise<void> write(const void* buffer, size_t size) override
    {
        metrics_.add(metric::control_bytes_sent, size);
        return inner_->write(buffer, size);
    }
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override
    {
        for (const auto& piece : pieces)
        {
            metrics_.add(metric::control_bytes_sent, piece.size());
        }
        return inner_->write(pieces);
    }
    kj::Promise<void> whenWriteDisconnected() override { return inner_->whenWriteDisconnected(); }
    void shutdownWrite() override { inner_->shutdownWrite(); }
    // NOLINTEND(readability-identifier-naming)

private:
    size_t received(size_t amount)
    {
        metrics_.add(metric::control_bytes_received, amount);
        return amount;
    }

    kj::Own<kj::AsyncIoStream> inner_;
    metric_table& metrics_;
};

} // namespace galenabay::daemon
