#include "bench/Bench.h"
#include "bench/HttpLoad.h"

#include <cstdio>
#include <iostream>

namespace siskinshunt {

namespace {

    struct Workload {
        std::string name; ///< Suffix of the figures; empty for plain services.
        std::string request;
        std::vector<std::string> direct;
    };

    std::string httpRequest(const std::string& line, const std::string& body)
    {
        return line + " HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer token-me\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    double ms(const Histogram& histogram, double quantile)
    {
        return static_cast<double>(histogram.quantile(quantile)) / 1000;
    }

    std::string describe(const HttpLoadResult& result)
    {
        return std::to_string(result.answered) + " answered, " + std::to_string(result.otherStatus) + " refused, " + std::to_string(result.failedConnections) + " connections broken";
    }

    void benchWorkload(const BenchContext& context, const Workload& work)
    {
        HttpLoadOptions options { .addresses = { context.proxy }, .request = work.request, .connections = 64, .rate = 0, .seconds = context.quick ? 0.5 : 8, .warmUp = context.quick ? 0.2 : 0.5, .seed = context.seed };
        const auto saturated = runHttpLoad(options);
        const std::string size = std::string("64 connections") + (context.quick ? ", 0.5 s (quick); " : ", 8 s; ");
        context.report("proxy.requests_per_s" + work.name, saturated.perSecond, "1/s", size + describe(saturated));
        options.addresses = work.direct;
        const auto direct = runHttpLoad(options);
        context.report("proxy.direct_requests_per_s" + work.name, direct.perSecond, "1/s", size + describe(direct));
        options.rate = saturated.perSecond / 2;
        options.connections = 256;
        const auto directHalf = runHttpLoad(options);
        options.addresses = { context.proxy };
        const auto half = runHttpLoad(options);
        char text[160];
        std::snprintf(text, sizeof(text), "%.0f requests/s, 256 connections, proxy p50 %.3f p99 %.3f, direct p50 %.3f p99 %.3f ms; ", options.rate,
            ms(half.latencyUs, 0.5), ms(half.latencyUs, 0.99), ms(directHalf.latencyUs, 0.5), ms(directHalf.latencyUs, 0.99));
        const std::string halfSize = text + describe(half);
        context.report("proxy.added_p50_ms" + work.name, ms(half.latencyUs, 0.5) - ms(directHalf.latencyUs, 0.5), "ms", halfSize);
        context.report("proxy.added_p99_ms" + work.name, ms(half.latencyUs, 0.99) - ms(directHalf.latencyUs, 0.99), "ms", halfSize);
    }

    const BenchRegistration registration("proxy", [](const BenchContext& context) {
        if (context.proxy.empty() || context.services.empty() || context.engines.empty()) {
            std::cerr << "proxy: skipped, because it needs a daemon; tools/bench starts one\n";
            return;
        }
        benchWorkload(context, { "", httpRequest("GET /services/bookings/status/1", ""), context.services });
        const std::string body = R"({"model":"demo","messages":[{"role":"user","content":"is the stage ready"}],"max_tokens":1})";
        benchWorkload(context, { ".completions", httpRequest("POST /v1/chat/completions", body), context.engines });
    });

}

}
