#pragma once

#include "citronpitch/fleetpeer.h"
#include "citronpitch/messagedelay.h"
#include "citronpitch/timepoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Citronpitch {

/// Spans several heartbeats and more than one retransmission of a lost packet.
constexpr Duration defaultSuspicionTimeout = std::chrono::milliseconds(600);

/// Options of a PeerDirectory.
struct PeerDirectoryOptions
{
    FleetPeer self;
    /// Links of VMs through which the others are discovered; none of them has to be up.
    std::vector<std::string> seeds;
    /// Time without two-way traffic after which a VM counts as unreachable.
    Duration suspicionTimeout = defaultSuspicionTimeout;
    /// Time after the connection was closed until a VM counts as unreachable, unless it sends another
    /// message.
    Duration closedLinkTimeout = std::chrono::milliseconds(200);
    /// Time without a message after which a VM is removed.
    Duration retention = std::chrono::seconds(60);
    /// Interval at which a VM is told the reachable control VMs again while they do not change.
    Duration listingInterval = std::chrono::seconds(1);
};

/// State of another VM of the fleet.
struct KnownPeer
{
    FleetPeer peer;
    bool isDraining = false;
    bool isAlive = false;
    /// It asks for heartbeats of this VM.
    bool isSubscriber = false;
    /// When its last message arrived.
    TimePoint lastMessageAt;
    /// When this VM sent the newest message that the peer has received.
    TimePoint echoedAt;
    /// When it sent its newest message, by its own clock, in microseconds.
    std::int64_t sentAt = 0;
    MessageDelay delay;
    /// By how much its newest message took longer than usual, in queues for example.
    Duration lastDelay{};
    /// The control VMs that this VM listed to it last, and when it is to list them again.
    std::vector<FleetPeer> listedControlVms;
    TimePoint nextListingAt;
};

/// Reports that a VM became reachable or unreachable. A restart reports its previous incarnation as
/// unreachable.
struct PeerChange
{
    FleetPeer peer;
    bool isAlive = false;
};

/**
 * @brief Discovers the other VMs of a fleet from a few seeds, and tracks which of them are reachable.
 *
 * A VM is reachable (alive) while messages pass in both directions. Does no I/O and reads no clock. Used by
 * FleetMember.
 */
class PeerDirectory
{
public:
    explicit PeerDirectory(PeerDirectoryOptions options);

    /**
     * Handles a message that @p name sent at @p sentAt by its own clock.
     *
     * @p echoedAt is when this VM sent the newest message that @p name had received by then. Returns false
     * for a message of a previous incarnation, which the caller must drop.
     */
    bool messageReceived(TimePoint now, const std::string &name, std::uint64_t incarnation,
                         std::int64_t sentAt, TimePoint echoedAt);

    /// Handles the heartbeat in a message that messageReceived() accepted. @p controlVms are the control VMs
    /// that are reachable from @p peer. @p isSubscriber tells that it asks for heartbeats of this VM.
    void heartbeatReceived(TimePoint now, const FleetPeer &peer, bool isDraining,
                           const std::vector<FleetPeer> &controlVms, bool isSubscriber = false);

    /// Sets the VMs that are asked for heartbeats in addition to the control VMs. Returns whether they differ
    /// from the previous ones.
    bool setSubscriptions(std::set<std::string> vms);
    bool isSubscribedTo(const std::string &name) const;

    /// The connection to @p name was closed.
    void linkClosed(TimePoint now, const std::string &name);

    void tick(TimePoint now);

    /// Time between two heartbeats to each VM; grows with the number of VMs, and three fit into the suspicion
    /// timeout.
    Duration heartbeatInterval() const;

    /// Number that changes whenever the VMs, their roles or domains, or heartbeatTargets() may have changed.
    std::uint64_t version() const;

    /// VMs to connect to and to send heartbeats to.
    std::vector<std::string> heartbeatTargets() const;

    /// Reachable control VMs, including this one if it is a control VM.
    std::vector<FleetPeer> controlVms() const;

    /// Whether the next heartbeat to @p name has to list @p controlVms: they have changed since the last
    /// listing, or that was long ago. Counts the listing as sent.
    bool takeListing(TimePoint now, const std::string &name, const std::vector<FleetPeer> &controlVms);

    /// Returns how long the last message of @p name was on its way beyond the usual time; nothing while that
    /// VM is unreachable, as its messages may be old then without appearing so.
    std::optional<Duration> messageDelay(const std::string &name) const;

    /// Returns null for a VM without any message so far.
    const KnownPeer *find(const std::string &name) const;
    bool isAlive(const std::string &name) const;
    const std::map<std::string, KnownPeer> &peers() const;

    std::vector<PeerChange> takeChanges();

private:
    bool hasTwoWayTraffic(TimePoint now, const KnownPeer &it) const;
    void updateReachability(TimePoint now, KnownPeer &it);

    PeerDirectoryOptions m_options;
    std::map<std::string, KnownPeer> m_peers;
    /// Control VMs named in heartbeats of others, and when they were named last.
    std::map<std::string, TimePoint> m_mentioned;
    std::set<std::string> m_subscriptions;
    std::vector<PeerChange> m_changes;
    std::uint64_t m_version = 1;
};

} // namespace Citronpitch
