#pragma once

#include "base/Random.h"
#include "emulator/Engine.h"
#include "experiment/FakeUpstream.h"
#include "experiment/FakeVersionFaults.h"
#include "experiment/Fencing.h"
#include "experiment/WeightStore.h"

#include <map>

namespace siskinshunt {

/// State shared by the engines of a process.
struct SharedEngineState {
    FakeVersionFaults faults;
    WeightStore weights { 1, 2 };
    Random random { 1 };
};

/// Token counts of an engine.
struct EngineTotals {
    uint64_t prefilledTokens = 0;
    uint64_t cachedTokens = 0;
    uint64_t resumedTokens = 0; ///< Prefilled for calls that were resumed at an offset.
    uint64_t decodedTokens = 0;
};

/// Stand-in for a model engine, with the HTTP interface of the design page. Answers come from Answers.h.
class FakeEngine : public FakeUpstream {
public:
    FakeEngine(Loop&, FakeEngineConfig, AnnounceOptions, SharedEngineState&);
    ~FakeEngine() override { *m_alive = false; }

    UpstreamLoad load() override;
    UpstreamKind kind() const override { return UpstreamKind::Engine; }
    /// Totals over all simulated processes of this engine.
    const EngineTotals& totals() const { return m_totals; }

protected:
    void handleRequest(const HttpRequest&, const std::shared_ptr<HttpReply>&) override;
    void clearState() override;

private:
    struct Call {
        std::shared_ptr<HttpReply> reply;
        std::string callHeader;
        HttpHeaders echo;
        uint64_t hash = 0;
        uint32_t promptTokens = 0;
        uint32_t start = 0; ///< Offset at the start of the attempt.
        uint32_t offset = 0; ///< Tokens sent or skipped so far.
        uint32_t cached = 0;
        bool stream = false;
        bool chat = false;
        std::string text; ///< Answer so far, if it is not streamed.
    };

    void handleCompletion(const HttpRequest&, const std::shared_ptr<HttpReply>&, const Json& body);
    void handleOrder(const std::shared_ptr<HttpReply>&, const Json& body);
    void loadVersion(std::string model, std::string version);
    void exportCache(const std::shared_ptr<HttpReply>&, const Json& body);
    void importCache(const std::shared_ptr<HttpReply>&, const Json& body);
    void cacheEvents(const std::shared_ptr<HttpReply>&, const HttpRequest&);
    Call& addCall(uint64_t id, Call);
    bool submitCall(uint64_t id, const Call&, EngineRequest, const FakeVersionFault&);
    void keepAlive(uint64_t id);
    void scheduleTick();
    void tick();
    void handleEvent(const EngineEvent&);
    void emitTokens(Call&, uint32_t offset);
    void ensureEngine();
    void finish(Call&);
    static Json usage(const Call&);
    Json chunk(const Call&, std::string_view text, bool last) const;

    FakeEngineConfig m_config;
    SharedEngineState& m_sharedEngineState;
    std::optional<Engine> m_engine; ///< Created on first use after a start.
    EngineTotals m_totals;
    OrderLog m_orders;
    std::map<uint64_t, Call> m_calls;
    std::map<std::string, uint32_t> m_importedTokens; ///< Number of tokens of imported KV cache by call id.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    uint64_t m_nextCall = 1;
    uint64_t m_generation = 0; ///< Incremented when the simulated process ends, so that its timers have no effect.
    TimeMs m_tickAt = farFuture; ///< Time of the scheduled tick; `farFuture` if there is none.
};

}
