#pragma once

#include "citronpitch/nametable.h"

#include <array>
#include <functional>
#include <memory>

namespace Citronpitch {

/// Life of the link to another entry VM.
enum class LinkPhase {
    /// No connection has stood yet, or the last one has ended.
    Down,
    /// A connection stands.
    Up,
    /// The link is closed for good.
    Closed,
};

inline constexpr std::array linkPhaseNames{
    EnumName<LinkPhase>{LinkPhase::Down, "down"},
    EnumName<LinkPhase>{LinkPhase::Up, "up"},
    EnumName<LinkPhase>{LinkPhase::Closed, "closed"},
};

/// Told each change of phase.
using LinkPhaseHandler = std::function<void(LinkPhase)>;

/**
 * @brief State machine of the link to one other entry VM, fed by what the socket reports. Used by PeerLinks.
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

    /// The handshake of a connection has succeeded.
    void connected();
    /// The connection has ended.
    void disconnected();
    /// The socket is being closed.
    void closed();

    LinkPhase phase() const;

private:
    class Machine;

    std::unique_ptr<Machine> m_machine;
};

} // namespace Citronpitch
