#include "jackdawweir/proxy/http_listener.h"

#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>

#include "jackdawweir/proxy/upstream_client.h"

namespace jackdawweir::proxy {

namespace {

const core::endpoint listenerAddress{"127.0.31.3:17432"};

upstream_request post(std::string body)
{
    upstream_request request;
    request.address = listenerAddress;
    request.method = "POST";
    request.target = "/orders/?id=7";
    request.body = std::move(body);
    request.timeout = std::chrono::milliseconds(20'000);
    return request;
}

} // namespace

class http_listener_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_listener_test);
    CPPUNIT_TEST(passesTargetHeadersAndBody);
    CPPUNIT_TEST(refusesOversizedBody);
    CPPUNIT_TEST(shutDownWaitsForRequestsInFlight);
    CPPUNIT_TEST(shutDownReportsAbortedRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    void passesTargetHeadersAndBody()
    {
        http_listener listener(listenerAddress, [](const http_request &request) {
            return http_response{200,
                                 {{"Echo", *findHeader(request.headers, "x-caller")}},
                                 request.method + " " + request.target + " " + request.body};
        });
        CPPUNIT_ASSERT(core::isOk(listener.start()));
        upstream_request request = post("granite");
        request.headers.push_back({"X-Caller", "yard"});
        const upstream_result sent = upstream_client().send(request);
        CPPUNIT_ASSERT_EQUAL(std::string("POST /orders/?id=7 granite"), sent.response.body);
        CPPUNIT_ASSERT_EQUAL(std::string("yard"), *findHeader(sent.response.headers, "echo"));
    }

    // Guards against a request body that exhausts the memory of the node.
    void refusesOversizedBody()
    {
        http_listener listener(listenerAddress, [](const http_request &) {
            return http_response{200, {}, ""};
        });
        CPPUNIT_ASSERT(core::isOk(listener.start()));
        const upstream_result sent
            = upstream_client().send(post(std::string(maxRequestBodyBytes + 1, 'x')));
        CPPUNIT_ASSERT_EQUAL(413U, sent.response.status);
    }

    // Guards against a planned shutdown that aborts a request in flight (P9).
    void shutDownWaitsForRequestsInFlight()
    {
        std::promise<void> entered;
        std::promise<void> release;
        http_listener listener(listenerAddress, [&](const http_request &) {
            entered.set_value();
            release.get_future().wait();
            return http_response{200, {}, "booked"};
        });
        CPPUNIT_ASSERT(core::isOk(listener.start()));
        std::future<upstream_result> caller
            = std::async(std::launch::async, [] { return upstream_client().send(post("")); });
        entered.get_future().wait();
        std::future<std::size_t> stopped = std::async(std::launch::async, [&listener] {
            return listener.shutDown(std::chrono::milliseconds(20'000));
        });
        release.set_value();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, stopped.get());
        CPPUNIT_ASSERT_EQUAL(std::string("booked"), caller.get().response.body);
    }

    // Guards against a shutdown that never completes because one request is stuck.
    void shutDownReportsAbortedRequests()
    {
        std::promise<void> entered;
        std::promise<void> release;
        http_listener listener(listenerAddress, [&](const http_request &) {
            entered.set_value();
            release.get_future().wait();
            return http_response{200, {}, ""};
        });
        CPPUNIT_ASSERT(core::isOk(listener.start()));
        std::future<upstream_result> caller
            = std::async(std::launch::async, [] { return upstream_client().send(post("")); });
        entered.get_future().wait();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, listener.requestsInFlight());
        std::future<std::size_t> stopped = std::async(std::launch::async, [&listener] {
            return listener.shutDown(std::chrono::milliseconds(10));
        });
        // shutDown waits for the connection's thread even after its timeout, so the handler is
        // released only after that timeout.
        CPPUNIT_ASSERT(stopped.wait_for(std::chrono::milliseconds(50))
                       == std::future_status::timeout);
        release.set_value();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stopped.get());
        caller.get();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_listener_test);

} // namespace jackdawweir::proxy
