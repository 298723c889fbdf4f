#pragma once

#include <zmq.hpp>

#include <cerrno>

namespace Citronpitch {

/// Calls a ZeroMQ function and repeats the call while it fails with EINTR, in which case it had no effect.
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
