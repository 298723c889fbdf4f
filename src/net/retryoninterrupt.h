#pragma once

#include <zmq.hpp>

#include <cerrno>

namespace Citronpitch {

/// Calls a function of ZeroMQ, and again while a signal interrupts it; nothing was done then.
template <typename Call> auto retryOnInterrupt(const Call &call) -> decltype(call())
{
    while (true) {
        try {
            return call();
        } catch (const zmq::error_t &error) {
            if (error.num() != EINTR)
                throw;
        }
    }
}

} // namespace Citronpitch
