#pragma once

#include "base/Random.h"
#include "experiment/EngineModel.h"
#include "experiment/FakeUpstream.h"
#include "experiment/Fencing.h"
#include "experiment/VersionFaults.h"
#include "experiment/WeightStore.h"

#include <deque>
#include <map>
#include <set>

namespace siskinshunt {

/// What the engines of one process share.
struct EngineSurroundings {
    VersionFaults faults;
    WeightStore weights { 1, 2 };
    Random random { 1 };
};

/// Stand-in for a model engine, with the HTTP interface of the design page. Answers come from Answers.h.
class FakeEngine : public FakeUpstream {
public:
    FakeEngine(Loop&, FakeEngineConfig, AnnounceOptions, EngineSurroundings&);
    ~FakeEngine() override { *m_alive = false; }

    FakeLoad load() override;
    const char* kind() const override { return "engine"; }
    /// Over all processes of this engine.
    EngineTotals totals() const;

protected:
    void handleRequest(const HttpRequest&, const std::shared_ptr<HttpReply>&) override;
    void forget() override;

private:
    struct Call {
        std::shared_ptr<HttpReply> reply;
        std::string callHeader;
        HttpHeaders echo;
        uint64_t hash = 0;
        uint64_t promptTokens = 0;
        uint64_t offset = 0; ///< Tokens sent or skipped so far.
        uint64_t cached = 0;
        uint64_t start = 0;
        bool stream = false;
        bool chat = false;
        std::string text; ///< Of an answer that is not a stream.
    };
    struct LoadSample {
        TimeMs at;
        FakeLoad load;
    };

    void complete(const HttpRequest&, const std::shared_ptr<HttpReply>&, const Json& body);
    void order(const std::shared_ptr<HttpReply>&, const Json& body);
    void loadVersion(std::string model, std::string version);
    void exportCache(const std::shared_ptr<HttpReply>&, const Json& body);
    void importCache(const std::shared_ptr<HttpReply>&, const Json& body);
    void cacheEvents(const std::shared_ptr<HttpReply>&, const HttpRequest&);
    void scheduleTick();
    void tick();
    void emitTokens(Call&, const EngineProgress&);
    void finish(Call&);
    Json usage(const Call&) const;
    Json chunk(const Call&, std::string_view text, bool last) const;
    FakeLoad currentLoad() const;

    FakeEngineConfig m_config;
    EngineSurroundings& m_surroundings;
    EngineModel m_model;
    EngineTotals m_totals;
    OrderLog m_orders;
    std::map<uint64_t, Call> m_calls;
    std::set<std::string> m_imported; ///< Call ids whose KV cache was imported.
    std::deque<LoadSample> m_samples;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    uint64_t m_nextCall = 1;
    uint64_t m_generation = 0; ///< Rises when the process "ends"; timers of earlier ones do nothing.
    bool m_ticking = false;
};

}
