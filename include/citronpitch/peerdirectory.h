#pragma once

#include "citronpitch/fleetpeer.h"
#include "citronpitch/timepoint.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Citronpitch {

/// Several heartbeats, and more than one retransmission of a lost packet.
constexpr Duration defaultSuspicionTimeout = std::chrono::milliseconds(600);

/// What a PeerDirectory is told at its start.
struct PeerDirectoryOptions
{
    FleetPeer self;
    /// Links of VMs that may know the others; none of them has to be up.
    std::vector<std::string> seeds;
    /// Silence after which a VM counts as out of reach.
    Duration suspicionTimeout = defaultSuspicionTimeout;
    /// A VM whose connection has ended counts as out of reach after this time, unless it is heard again.
    Duration closedLinkTimeout = std::chrono::milliseconds(200);
    /// Silence after which a VM is forgotten.
    Duration retention = std::chrono::seconds(60);
};

/// What is known of another VM.
struct KnownPeer
{
    FleetPeer peer;
    bool isDraining = false;
    bool isAlive = false;
    /// When something of it arrived last.
    TimePoint lastHeardAt;
    /// When the newest of our messages was sent that it has seen.
    TimePoint echoedAt;
    /// By its own clock: when it sent what arrived last, in microseconds.
    std::int64_t sentAt = 0;
};

/// A VM came into reach, or is out of reach, or was replaced by a new life of it.
struct PeerChange
{
    FleetPeer peer;
    bool isAlive = false;
};

/**
 * @brief Finds the other VMs of a fleet from a few seeds, and tells which of them are in reach.
 *
 * A VM is in reach when messages pass in both directions. Does no I/O and reads no clock. Used by
 * FleetMember.
 */
class PeerDirectory
{
public:
    explicit PeerDirectory(PeerDirectoryOptions options);

    /**
     * A message of @p peer arrived that it sent at @p sentAt by its own clock.
     *
     * @p echoedAt is when this VM sent the newest message that @p peer had seen then. Returns false for a
     * message of an ended life, which must be dropped.
     */
    bool messageReceived(TimePoint now, const std::string &name, std::uint64_t incarnation,
                         std::int64_t sentAt, TimePoint echoedAt);

    /// The heartbeat of a VM that heard() has taken: who it is, and the control VMs that it hears itself.
    void heartbeatReceived(TimePoint now, const FleetPeer &peer, bool isDraining,
                           const std::vector<FleetPeer> &controlVms);

    /// The connection to @p name has ended.
    void linkClosed(TimePoint now, const std::string &name);

    void tick(TimePoint now);

    /// VMs to keep a link with and to send heartbeats to.
    std::vector<std::string> heartbeatTargets() const;

    /// Control VMs in reach, this one included where it is one.
    std::vector<FleetPeer> controlVms() const;

    /// Null where nothing was heard of @p name.
    const KnownPeer *find(const std::string &name) const;
    bool isAlive(const std::string &name) const;
    const std::map<std::string, KnownPeer> &peers() const;

    std::vector<PeerChange> takeChanges();

private:
    bool hasTwoWayTraffic(TimePoint now, const KnownPeer &it) const;
    void updateReachability(TimePoint now, KnownPeer &it);

    PeerDirectoryOptions m_options;
    std::map<std::string, KnownPeer> m_peers;
    /// Control VMs that others named, and when they did last.
    std::map<std::string, TimePoint> m_mentioned;
    std::vector<PeerChange> m_changes;
};

} // namespace Citronpitch
