#pragma once

#include "citronpitch/timepoint.h"
#include "settings/settings.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <thread>

namespace Citronpitch {

/// Direction of bytes through FaultProxy.
enum class Flow { ToServer, ToClient };

/// Faults in force; changed from any thread.
struct FaultPlan
{
    /// Added to every byte, each way, in microseconds.
    std::atomic<std::int64_t> delayMicroseconds{0};
    /// Bytes are swallowed and connections stay open.
    std::atomic<bool> swallowToServer{false};
    std::atomic<bool> swallowToClient{false};
    /// New connections are closed at once.
    std::atomic<bool> refuse{false};
    /// Each connection is closed after this many bytes of the flow; negative: never.
    std::atomic<std::int64_t> closeAfterToServer{-1};
    std::atomic<std::int64_t> closeAfterToClient{-1};
};

/**
 * @brief Fault-injecting TCP proxy on loopback with an event loop and thread of its own.
 *
 * Stands between two real processes in integration tests and adds the delays of a deployment in experiments.
 */
class FaultProxy
{
public:
    /// Listens on @p listen and connects to @p target for each connection.
    FaultProxy(const Endpoint &listen, const Endpoint &target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    FaultPlan &faults();

    /// Closes every open connection.
    void closeAll();

    /// Bytes passed on so far.
    std::uint64_t passedBytes() const;

private:
    class Acceptor;

    FaultPlan m_faults;
    std::atomic<std::uint64_t> m_passedBytes{0};
    boost::asio::io_context m_io;
    std::unique_ptr<Acceptor> m_acceptor;
    std::thread m_thread;
};

} // namespace Citronpitch
