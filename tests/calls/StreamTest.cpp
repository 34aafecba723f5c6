#include "base/Random.h"
#include "calls/StreamState.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

static std::string tokenEvent(uint64_t n)
{
    return toBytes({ n, "{\"t\":" + std::to_string(n) + "}" });
}

// Guards against events that are lost or corrupted when the stream is split at an arbitrary position.
BOOST_AUTO_TEST_CASE(eventsAreParsedAcrossSplits)
{
    Random random(3);
    for (int round = 0; round < 200; ++round) {
        std::string bytes = ": comment\r\n\r\n";
        for (uint64_t n = 1; n <= 20; ++n)
            bytes += tokenEvent(n);
        bytes += "data: [DONE]\r\n\r\n";
        EventReader reader;
        uint64_t expected = 1;
        bool done = false;
        while (!bytes.empty()) {
            const size_t n = random.below(12) + 1;
            BOOST_REQUIRE(reader.feed(bytes.substr(0, n)));
            bytes.erase(0, n);
            while (const auto event = reader.next()) {
                if (event->data == "[DONE]")
                    done = true;
                else
                    BOOST_TEST(*event->id == expected++);
            }
        }
        BOOST_TEST(expected == 21u);
        BOOST_TEST(done);
    }
}

// Guards against unbounded memory use when an upstream never ends an event.
BOOST_AUTO_TEST_CASE(oversizedEventIsRefused)
{
    EventReader reader;
    bool ok = true;
    for (int n = 0; n < 40 && ok; ++n)
        ok = reader.feed(std::string(64 << 10, 'x'));
    BOOST_TEST(!ok);
}

// Guards against duplicate or missing tokens when events of several dispatches overlap, arrive late or leave a gap.
BOOST_AUTO_TEST_CASE(resumedStreamHasNoDuplicatesAndNoGaps)
{
    StreamState state;
    const auto accept = [&](uint64_t id) { return acceptEvent(state, { id, "x" }); };
    BOOST_TEST(nameOf(accept(1)) == "forward");
    BOOST_TEST(nameOf(accept(2)) == "forward");
    BOOST_TEST(nameOf(accept(1)) == "duplicate");
    BOOST_TEST(nameOf(accept(4)) == "gap");
    BOOST_TEST(canResume(state));
    BOOST_TEST(nameOf(accept(3)) == "forward");
    BOOST_TEST(nameOf(accept(3)) == "forward"); // The final event repeats the offset.
    BOOST_TEST(nameOf(acceptEvent(state, { {}, "[DONE]" })) == "complete");
    BOOST_TEST(nameOf(accept(4)) == "late");
    BOOST_TEST(!canResume(state));
}

// Guards against resuming a stream whose engine does not number its events.
BOOST_AUTO_TEST_CASE(unnumberedStreamCannotBeResumed)
{
    StreamState state;
    BOOST_TEST(nameOf(acceptEvent(state, { {}, "x" })) == "forward");
    BOOST_TEST(!canResume(state));
}
