#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/TimeMs.h"
#include "versions/MoveTypes.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace siskinshunt {

/// Replaces the rules if the current revision is the expected one. The caller has validated the text.
struct ApplyRules {
    std::string requestId; ///< 1 to 128 bytes; a resend with the same id and text gets the same reply.
    uint64_t expectedRevision = 0; ///< 0 for the first rules.
    std::string text; ///< At most 8 MiB.
    std::string operatorName;
    TimeMs now; ///< UTC.

    template <class Archive>
    void serialize(Archive& archive) { archive(requestId, expectedRevision, text, operatorName, now); }
};

/// Records a directive of the move controller. Rejected unless the epoch is the current one.
struct RecordMove {
    uint64_t epoch = 0;
    MoveDirective directive;

    template <class Archive>
    void serialize(Archive& archive) { archive(epoch, directive); }
};

/// Committed by a new decision leader before its first order; the epoch is its term.
struct BeginEpoch {
    NodeId leader;
    uint64_t term = 0;
    TimeMs now;

    template <class Archive>
    void serialize(Archive& archive) { archive(leader, term, now); }
};

enum class IntentState : uint8_t {
    Open,
    Confirmed,
    Failed,
};

template <>
inline constexpr auto enumNames<IntentState> = std::to_array<EnumName<IntentState>>({
    { IntentState::Open, "open" },
    { IntentState::Confirmed, "confirmed" },
    { IntentState::Failed, "failed" },
});

enum class IntentKind : uint8_t {
    Order, ///< Sent to an upstream.
    Capacity, ///< Sent to the platform.
};

template <>
inline constexpr auto enumNames<IntentKind> = std::to_array<EnumName<IntentKind>>({
    { IntentKind::Order, "order" },
    { IntentKind::Capacity, "capacity" },
});

/// An order that the leader is about to send, recorded so that a later leader neither loses nor repeats it.
struct Intent {
    std::string id; ///< 1 to 128 bytes.
    IntentKind kind = IntentKind::Order;
    std::string action; ///< Name of the order kind, such as "load_version".
    std::string target; ///< Upstream name, or empty for the platform.
    std::string domain; ///< Capacity: failure domain.
    std::string machine; ///< Capacity: machine class.
    bool reclaimable = true; ///< Capacity.
    std::string model;
    std::string version;
    IntentState state = IntentState::Open;
    std::string detail; ///< Reason for the order, or the cause of its failure.
    TimeMs created; ///< UTC.
    uint64_t epoch = 0; ///< Epoch in which it was opened.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, kind, action, target, domain, machine, reclaimable, model, version, state, detail, created, epoch);
    }
};

/// Opens an intent. Idempotent: a known id is accepted without effect.
struct OpenIntent {
    uint64_t epoch = 0;
    Intent intent;

    template <class Archive>
    void serialize(Archive& archive) { archive(epoch, intent); }
};

/// Closes an open intent. Idempotent: closing it again with the same state is accepted without effect.
struct CloseIntent {
    std::string id;
    IntentState state = IntentState::Confirmed; ///< Confirmed or Failed.
    std::string detail;

    template <class Archive>
    void serialize(Archive& archive) { archive(id, state, detail); }
};

/// Activates a configuration of the platform unless one with the same or a higher number is active. The caller has
/// validated it.
struct PutConfiguration {
    uint64_t number = 0; ///< Assigned by the platform's operator; the highest one is active.
    std::string original; ///< As received, returned to readers.
    std::string rules; ///< Translation into rule lines, each with its requester.
    std::string operatorName;
    TimeMs now; ///< UTC.

    template <class Archive>
    void serialize(Archive& archive) { archive(number, original, rules, operatorName, now); }
};

enum class VersionOrderState : uint8_t {
    Running,
    Completed,
    RolledBack,
    GivenUp, ///< Replaced by an order for another version while it was running. Only past orders have this state.
};

template <>
inline constexpr auto enumNames<VersionOrderState> = std::to_array<EnumName<VersionOrderState>>({
    { VersionOrderState::Running, "running" },
    { VersionOrderState::Completed, "completed" },
    { VersionOrderState::RolledBack, "rolled_back" },
    { VersionOrderState::GivenUp, "given_up" },
});

/// An operator's order to move the traffic of a backend to a version within a time limit.
struct VersionOrder {
    std::string backend;
    std::string target; ///< Version.
    TimeMs orderedAt; ///< UTC.
    TimeMs within; ///< Time limit of the move, counted from `orderedAt`.
    VersionOrderState state = VersionOrderState::Running;
    double share = 0; ///< Share of the backend's requests that can be sent to the target version.
    uint64_t sequence = 0; ///< Increases with each change of this order.
    std::string reason;

    template <class Archive>
    void serialize(Archive& archive) { archive(backend, target, orderedAt, within, state, share, sequence, reason); }
};

/// Starts a version order. Idempotent: a resend of the same order is accepted without effect.
struct StartVersionOrder {
    std::string backend;
    std::string target;
    TimeMs within;
    TimeMs now; ///< UTC.

    template <class Archive>
    void serialize(Archive& archive) { archive(backend, target, within, now); }
};

/// Starts a version order unless the backend's order has changed since the proposer knew it: a copy of an order that was delayed on its way,
/// and given up or repeated elsewhere meanwhile, is rejected as stale. A resend of the order in force is accepted without effect.
struct OrderVersion {
    StartVersionOrder order;
    uint64_t knownSequence = 0; ///< Sequence of the backend's order that the proposer knew when it received this one; 0 for none.

    template <class Archive>
    void serialize(Archive& archive) { archive(order, knownSequence); }
};

/// As OrderVersion, for builds that keep what is known of each version; see DecisionLog::pastVersionOrders.
struct OrderVersionAmong {
    OrderVersion order;
    std::vector<std::string> present; ///< Versions of which the proposer knew upstreams, at most `maxPresent`.

    static constexpr size_t maxPresent = 32;

    template <class Archive>
    void serialize(Archive& archive) { archive(order, present); }
};

/// Progress of a version order, recorded by the decision leader. Rejected unless the epoch is the current one.
struct RecordVersionOrder {
    uint64_t epoch = 0;
    VersionOrder order;

    template <class Archive>
    void serialize(Archive& archive) { archive(epoch, order); }
};

/// Commits the counts of a usage window before they are reported, so that repeated reports are identical.
struct CommitUsage {
    int64_t window = 0;
    std::map<std::string, uint64_t> counts; ///< Requests whose execution started, by client account.

    template <class Archive>
    void serialize(Archive& archive) { archive(window, counts); }
};

/// An operator's order that the upstreams of a failure domain get no new requests.
struct Evacuation {
    std::string domain;
    std::string operatorName;
    TimeMs orderedAt; ///< UTC.

    template <class Archive>
    void serialize(Archive& archive) { archive(domain, operatorName, orderedAt); }
};

/// Starts an evacuation. Idempotent: one that is in force is accepted without effect.
struct StartEvacuation {
    Evacuation evacuation;

    template <class Archive>
    void serialize(Archive& archive) { archive(evacuation); }
};

/// Ends an evacuation. Idempotent: a domain that is not evacuated is accepted without effect.
struct EndEvacuation {
    std::string domain;
    std::string operatorName;
    TimeMs now; ///< UTC.

    template <class Archive>
    void serialize(Archive& archive) { archive(domain, operatorName, now); }
};

/// New commands are added at the end: the position is part of their encoding. See docs/decisions/compatibility.md, rule 3.
using ControlCommand = std::variant<ApplyRules, RecordMove, BeginEpoch, OpenIntent, CloseIntent, PutConfiguration, StartVersionOrder, RecordVersionOrder, CommitUsage, StartEvacuation, EndEvacuation, OrderVersion, OrderVersionAmong>;

enum class ControlOutcome : uint8_t {
    Accepted,
    Conflict, ///< Another operator applied rules first, or the request id was used before with another text.
    Stale, ///< Outdated epoch or sequence.
    Finished, ///< The move or intent has already ended in another state.
    Full, ///< Too many open intents or moves.
    NotFound,
    Malformed,
};

template <>
inline constexpr auto enumNames<ControlOutcome> = std::to_array<EnumName<ControlOutcome>>({
    { ControlOutcome::Accepted, "accepted" },
    { ControlOutcome::Conflict, "conflict" },
    { ControlOutcome::Stale, "stale" },
    { ControlOutcome::Finished, "finished" },
    { ControlOutcome::Full, "full" },
    { ControlOutcome::NotFound, "not_found" },
    { ControlOutcome::Malformed, "malformed" },
});

struct ControlReply {
    ControlOutcome outcome = ControlOutcome::Malformed;
    uint64_t revision = 0; ///< ApplyRules: the new revision, or on conflict the revision that won.
    std::string winner; ///< On conflict: the operator who applied that revision.
    TimeMs wonAt; ///< On conflict: when it was applied, UTC.
    uint64_t epoch = 0; ///< Current epoch.
    std::string detail;

    template <class Archive>
    void serialize(Archive& archive) { archive(outcome, revision, winner, wonAt, epoch, detail); }
};

/// Large commands are compressed: their lines resemble each other, and each voter keeps many commands in memory.
std::string encodeControlCommand(const ControlCommand&);
/// Returns nullopt on malformed bytes.
std::optional<ControlCommand> decodeControlCommand(std::string_view bytes);
std::string encodeControlReply(const ControlReply&);
/// Returns nullopt on malformed bytes.
std::optional<ControlReply> decodeControlReply(std::string_view bytes);

}
