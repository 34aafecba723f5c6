#include "forward/ForwardCall.h"

#include "forward/UsageMeter.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

// Guards against callers that set headers reserved for the system, and against callers' keys that reach an upstream.
BOOST_AUTO_TEST_CASE(callersCannotSetSystemHeaders)
{
    HeaderNames names;
    names.reserved = { "X-Reserve" };
    HttpRequest request { "POST", "/a", { { "Host", "h" }, { "authorization", "Bearer k" }, { names.account, "other" }, { names.urgency, "0" }, { names.target, "t" }, { names.timeLeft, "9" }, { "x-reserve", "1" }, { "Connection", "close, X-Hop" }, { "X-Hop", "1" }, { "TE", "trailers" }, { "Accept", "a" }, { "Accept", "b" }, { names.requestId, "r" } }, "body" };
    auto made = requestForUpstreams(std::move(request), names, "acme", 3);
    addAttemptHeaders(made, names, "runner-1", TimeMs { 250 }, {});
    const HttpHeaders expected { { "Host", "h" }, { "Accept", "a" }, { "Accept", "b" }, { names.requestId, "r" }, { names.account, "acme" }, { names.urgency, "3" }, { names.target, "runner-1" }, { names.timeLeft, "250" } };
    BOOST_TEST((made.headers == expected));
    BOOST_TEST(made.body == "body");
}

// Guards against a caller that has the request ID removed by listing its header in Connection.
BOOST_AUTO_TEST_CASE(connectionHeaderCannotRemoveTheRequestId)
{
    const HeaderNames names;
    HttpRequest request { "GET", "/a", { { "Connection", names.requestId + ", Host, " + names.tokens + ", " + names.lengthHint }, { "Host", "h" }, { names.requestId, "r" }, { names.tokens, "1,2" }, { names.lengthHint, "7" } }, "" };
    const auto made = requestForUpstreams(std::move(request), names, {}, 0);
    BOOST_TEST(findHeader(made.headers, "Host") == "h");
    BOOST_TEST(findHeader(made.headers, names.requestId) == "r");
    BOOST_TEST(findHeader(made.headers, names.tokens) == "1,2");
    BOOST_TEST(findHeader(made.headers, names.lengthHint) == "7");
}

// Guards against token counts and prompt parts from malformed headers.
BOOST_AUTO_TEST_CASE(malformedMetadataIsIgnored)
{
    const HeaderNames names;
    const auto metadata = parseForwardMetadata({ { names.timeLeft, "5000" }, { names.tokens, "1460,80" }, { names.lengthHint, "35" }, { names.promptParts, "5c1e07a2:800,91bd3f06:410" } }, names);
    BOOST_TEST(metadata.timeLeft->value == 5000);
    BOOST_TEST(*metadata.tokens == 1540U);
    BOOST_TEST(metadata.promptTokens == 1460U);
    BOOST_TEST(metadata.outputLimit == 80);
    BOOST_TEST(metadata.lengthHint == 35);
    BOOST_REQUIRE(metadata.parts.size() == 2U);
    BOOST_TEST(metadata.parts[1].hash == 0x91bd3f06U);
    const auto odd = parseForwardMetadata({ { names.timeLeft, "-1" }, { names.tokens, "14" }, { names.lengthHint, "-3" }, { names.promptParts, "5c1e07a2:800,zz:1" } }, names);
    BOOST_TEST((!odd.timeLeft && !odd.tokens && odd.lengthHint == 0 && odd.outputLimit == 0 && odd.parts.empty()));
}

// Guards against partial or repeated events when a stream is resumed, at any split of its bytes.
BOOST_AUTO_TEST_CASE(streamIsSplitAfterCompleteEvents)
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c";
    for (size_t at = 0; at <= stream.size(); ++at) {
        EventStreamSplitter splitter;
        std::string out = splitter.push(stream.substr(0, at));
        out += splitter.push(stream.substr(at));
        BOOST_TEST(out == stream.substr(0, stream.find("id: 3")));
        BOOST_TEST(splitter.lastEventId() == "2");
        BOOST_TEST(splitter.events() == 2U);
        BOOST_TEST(splitter.bufferedBytes() == std::string("id: 3\ndata: c").size());
        splitter.discardBuffer();
        BOOST_TEST(splitter.push("id: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
    }
}

// Guards against counting in an adjacent window and against windows that are never removed.
BOOST_AUTO_TEST_CASE(usageIsCountedInUtcWindows)
{
    UsageMeter meter;
    recordUsage(meter, TimeMs { 9999 }, "acme");
    recordUsage(meter, TimeMs { 10000 }, "acme");
    recordUsage(meter, TimeMs { 14999 }, "acme");
    BOOST_TEST(meter.windows.at(1).at("acme") == 1U);
    BOOST_TEST(meter.windows.at(2).at("acme") == 2U);
    expireUsage(meter, TimeMs { 72000 });
    BOOST_TEST((meter.windows.size() == 1U && meter.windows.contains(2)));
}
