#include "orders/Orders.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

static Order makeOrder(const std::string& id, bool checks, const std::string& subject = {})
{
    Order order;
    order.id = id;
    order.target = "runner";
    order.checksFencing = checks;
    order.subject = subject;
    return order;
}

// Guards against orders of two leaders that reach a target which does not check fencing tokens.
BOOST_AUTO_TEST_CASE(targetsThatIgnoreFencingGetOrdersAfterTheWait)
{
    Random random(1);
    OrderTable table;
    BOOST_TEST(!addOrder(table, makeOrder("early", true), 0_s));
    BOOST_REQUIRE(beginEpoch(table, 7, 10_s));
    addOrder(table, makeOrder("checks", true), 10_s);
    addOrder(table, makeOrder("ignores", false), 10_s);
    auto due = claimDueOrders(table, 10_s, random);
    BOOST_REQUIRE(due.size() == 1U);
    BOOST_TEST((due[0].id == "checks" && due[0].fencing.epoch == 7U));
    // lease 450 ms + order timeout 5 s + clock slack 500 ms
    BOOST_TEST((fencingWait(table.settings) == 5950_ms));
    handleOrderAnswer(table, "checks", due[0].fencing, OrderAnswer::Done, 11_s, random);
    BOOST_TEST(claimDueOrders(table, 10_s + 5949_ms, random).empty());
    due = claimDueOrders(table, 10_s + 5950_ms, random);
    BOOST_REQUIRE(due.size() == 1U);
    BOOST_TEST(due[0].id == "ignores");
}

// Guards against a deposed leader that continues to send orders, or one that begins an old epoch again.
BOOST_AUTO_TEST_CASE(epochsOnlyIncrease)
{
    Random random(1);
    OrderTable table;
    beginEpoch(table, 7, 0_s);
    addOrder(table, makeOrder("a", true), 0_s);
    const auto first = claimDueOrders(table, 0_s, random);
    endEpoch(table);
    BOOST_TEST(claimDueOrders(table, 100_s, random).empty());
    BOOST_TEST(!beginEpoch(table, 7, 100_s));
    BOOST_TEST(!beginEpoch(table, 6, 100_s));
    BOOST_REQUIRE(beginEpoch(table, 9, 100_s));
    addOrder(table, makeOrder("a", true), 100_s);
    const auto second = claimDueOrders(table, 100_s, random);
    BOOST_REQUIRE(second.size() == 1U);
    BOOST_TEST((second[0].fencing > first[0].fencing));
}

// Guards against lost answers that end an order, and against retries without a new token or backoff.
BOOST_AUTO_TEST_CASE(lostOrdersAreRetriedWithBackoff)
{
    Random random(1);
    OrderTable table;
    beginEpoch(table, 1, 0_s);
    addOrder(table, makeOrder("a", true), 0_s);
    const auto first = claimDueOrders(table, 0_s, random);
    BOOST_TEST(claimDueOrders(table, 4999_ms, random).empty());
    BOOST_TEST(claimDueOrders(table, 5000_ms, random).empty()); // Times out now, and backs off.
    const auto second = claimDueOrders(table, 6_s, random);
    BOOST_REQUIRE(second.size() == 1U);
    BOOST_TEST((second[0].fencing > first[0].fencing));
    // A refusal of the first attempt does not apply to the second one.
    handleOrderAnswer(table, "a", first[0].fencing, OrderAnswer::Refused, 6_s, random);
    BOOST_TEST((table.orders.at("a").state == OrderState::InFlight));
    handleOrderAnswer(table, "a", second[0].fencing, OrderAnswer::Busy, 6_s, random);
    BOOST_TEST(claimDueOrders(table, 6100_ms, random).empty());
    BOOST_TEST(claimDueOrders(table, 8_s, random).size() == 1U);
}

// Guards against orders that are resent although their effect is visible, or that conflict with a newer one.
BOOST_AUTO_TEST_CASE(announcementsConfirmAndNewerOrdersSupersede)
{
    Random random(1);
    OrderTable table;
    beginEpoch(table, 1, 0_s);
    addOrder(table, makeOrder("v2", true, "version"), 0_s);
    addOrder(table, makeOrder("v3", true, "version"), 0_s);
    BOOST_TEST((table.orders.at("v2").state == OrderState::Superseded));
    auto due = claimDueOrders(table, 0_s, random);
    BOOST_REQUIRE(due.size() == 1U);
    handleOrderAnswer(table, "v3", due[0].fencing, OrderAnswer::Accepted, 1_s, random);
    BOOST_TEST(claimDueOrders(table, 50_s, random).empty());
    reconcileOrders(table, [](const Order& order) { return order.id == "v3"; });
    BOOST_TEST((table.orders.at("v3").state == OrderState::Confirmed));
    addOrder(table, makeOrder("v3", true, "version"), 60_s);
    BOOST_TEST(claimDueOrders(table, 200_s, random).empty());
}

// Guards against losing an accepted order when the target restarts.
BOOST_AUTO_TEST_CASE(acceptedOrdersWithoutEffectAreSentAgain)
{
    Random random(1);
    OrderTable table;
    beginEpoch(table, 1, 0_s);
    addOrder(table, makeOrder("a", true), 0_s);
    const auto due = claimDueOrders(table, 0_s, random);
    handleOrderAnswer(table, "a", due[0].fencing, OrderAnswer::Accepted, 1_s, random);
    claimDueOrders(table, 61_s, random);
    BOOST_TEST(claimDueOrders(table, 62_s, random).size() == 1U);
}
