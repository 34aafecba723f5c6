#pragma once

#include "control/ControlCommand.h"
#include "replica/StateMachine.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace siskinshunt {

struct RulesRevision {
    uint64_t revision = 0;
    std::string requestId;
    std::string operatorName;
    TimeMs at; ///< UTC.
    std::string text; ///< Empty once the text has been discarded.
    std::string textDigest; ///< SHA-256 in hex.

    template <class Archive>
    void serialize(Archive& archive) { archive(revision, requestId, operatorName, at, text, textDigest); }
};

/// Stored reply, returned to resends of the same request id.
struct AnsweredRequest {
    std::string textDigest;
    ControlReply reply;

    template <class Archive>
    void serialize(Archive& archive) { archive(textDigest, reply); }
};

/// Replicated state of the decision log (consensus group 1).
struct DecisionLog {
    static constexpr size_t keptTexts = 50;
    static constexpr size_t keptHistory = 20000; ///< Revisions without text: 8 days at 2,400 changes a day.
    static constexpr size_t keptRequests = 5000; ///< Request ids: two days at 2,400 changes a day.
    static constexpr size_t keptMoves = 1000; ///< The oldest finished ones are evicted first.
    static constexpr size_t keptIntents = 10000; ///< The oldest closed ones are evicted first.
    static constexpr size_t maxTextBytes = 8 << 20; ///< As maxRulesBytes of the parser.
    static constexpr size_t keptTextBytes = 4 << 20; ///< Total size of the kept texts; the latest text is always kept.
    static constexpr size_t keptUsageWindows = 200;
    static constexpr size_t maxEvacuations = 1000;
    static constexpr size_t keptVersions = 32; ///< Versions of a backend in `pastVersionOrders`; the one that was ordered first is evicted first.

    uint64_t revision = 0; ///< Current revision; 0 before the first rules.
    std::deque<RulesRevision> history; ///< Oldest first; the last one is current.
    std::map<std::string, AnsweredRequest> requests;
    std::deque<std::string> requestOrder; ///< Oldest first.
    std::map<std::string, MoveDirective> moves; ///< By name.
    std::deque<std::string> finishedMoves; ///< Oldest first.
    std::map<std::string, Intent> intents; ///< By id.
    std::deque<std::string> endedIntents; ///< Oldest first.
    uint64_t configurationNumber = 0; ///< Number of the active configuration; 0 if none.
    std::string configuration; ///< The active configuration as received.
    std::map<std::string, VersionOrder> versionOrders; ///< In force, by backend.
    /// What is known of the versions of a backend from before its order in force: the last order of each version, as it ended. A version that
    /// was in use before the first order of the backend counts as completed. By backend and version.
    std::map<std::string, std::map<std::string, VersionOrder>> pastVersionOrders;
    std::map<int64_t, std::map<std::string, uint64_t>> usage; ///< Committed counts by usage window.
    std::map<std::string, Evacuation> evacuations; ///< In force, by failure domain.
    uint64_t evacuationSequence = 0; ///< Increases with each change of `evacuations`; 0 if there never was one.
    uint64_t epoch = 0; ///< Term of the last BeginEpoch.
    NodeId epochLeader;
    TimeMs epochAt; ///< UTC.
};

/// Applies one command. Errors are reported as outcomes of the reply.
ControlReply applyControl(DecisionLog&, const ControlCommand&);

/// Text of the current rules; empty before the first revision.
const std::string& rulesText(const DecisionLog&);
/// A revision in the history, or null.
const RulesRevision* findRevision(const DecisionLog&, uint64_t revision);
/// All recorded directives: input of restoreMoves() and published to nodes.
std::vector<MoveDirective> recordedMoves(const DecisionLog&);
std::vector<Intent> openIntents(const DecisionLog&);

std::string snapshotControl(const DecisionLog&);
/// Returns false and leaves the log unchanged if the bytes are not a valid snapshot.
bool restoreControl(DecisionLog&, std::string_view bytes);

/// The log must outlive the state machine.
StateMachine controlStateMachine(DecisionLog&);

}
