#pragma once

#include "citronpitch/nametable.h"

#include <array>
#include <functional>
#include <memory>

namespace Citronpitch {

/// Phase of the link to another entry VM.
enum class LinkPhase {
    /// Not connected yet, or disconnected.
    Down,
    /// Connected; the handshake succeeded.
    Up,
    /// Closed permanently.
    Closed,
};

inline constexpr std::array linkPhaseNames{
    EnumName<LinkPhase>{LinkPhase::Down, "down"},
    EnumName<LinkPhase>{LinkPhase::Up, "up"},
    EnumName<LinkPhase>{LinkPhase::Closed, "closed"},
};

/// Called on each change of phase.
using LinkPhaseHandler = std::function<void(LinkPhase)>;

/**
 * @brief State machine of the link to one other entry VM, driven by socket events. Used by PeerLink.
 */
class LinkStateMachine
{
public:
    explicit LinkStateMachine(LinkPhaseHandler changed);
    ~LinkStateMachine();
    LinkStateMachine(LinkStateMachine &&other) noexcept;
    LinkStateMachine &operator=(LinkStateMachine &&other) noexcept;
    LinkStateMachine(const LinkStateMachine &) = delete;
    LinkStateMachine &operator=(const LinkStateMachine &) = delete;

    /// Handles a successful handshake.
    void connected();
    /// Handles the loss of the connection.
    void disconnected();
    /// Handles the closing of the socket.
    void closed();

    LinkPhase phase() const;

private:
    class Machine;

    std::unique_ptr<Machine> m_machine;
};

} // namespace Citronpitch
