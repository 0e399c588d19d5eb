// A dispatcher whose sent messages are recorded, with a few hosts and two routes.

#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "jackdawweir/forwarding/dispatcher.h"

namespace jackdawweir::forwarding {

struct sent_message {
    core::endpoint peer;
    message body;
};

class dispatcher_fixture
{
public:
    // Different starts of a node have different seeds.
    explicit dispatcher_fixture(std::uint64_t seed = 1)
        : subject(settings(), hooks(), core::random_engine(seed))
    {
    }

    static dispatcher_settings settings()
    {
        dispatcher_settings used;
        used.loadBalancing.ownHost.value = "host-1";
        used.loadBalancing.ownDataCentre.value = "a";
        used.retries.allowance = 100;
        used.ownService.value = "front";
        return used;
    }

    static policy::route
    routeTo(const std::string &name, const std::string &prefix, document::request_kind kind)
    {
        policy::route made;
        made.name.value = name;
        made.host = "shop.example";
        made.pathPrefix = prefix;
        made.kind = kind;
        made.parts = {{core::service_name{"stock"}, 1}};
        made.timeout = std::chrono::milliseconds(1000);
        made.targetLatency = std::chrono::milliseconds(300);
        made.maxAttempts = 2;
        return made;
    }

    static policy::policy_view view()
    {
        policy::policy_view made;
        made.revision = 5;
        made.policy.number = 3;
        made.policy.routes = {routeTo("lookup", "/lookup/", document::request_kind::Idempotent),
                              routeTo("order", "/order/", document::request_kind::NonIdempotent)};
        return made;
    }

    static fleet::host_record hostWith(const std::string &name,
                                       const std::string &dataCentre,
                                       const std::string &version = "v1")
    {
        fleet::host_record made;
        made.host.value = name;
        made.dataCentre.value = dataCentre;
        made.endpoint.value = name + ":7000";
        fleet::server_record server;
        server.instance.value = "server-" + name;
        server.address.value = "10.0.0.1:80";
        server.service.value = "stock";
        server.version.value = version;
        server.slots = 4;
        made.servers = {server};
        return made;
    }

    // Puts a view into force and lists the hosts host-a and host-b of data centre "a" and host-c of
    // "b".
    void serve()
    {
        subject.setView(view());
        subject.setHosts(
            {hostWith("host-a", "a"), hostWith("host-b", "a"), hostWith("host-c", "b")}, now);
    }

    static caller_request request(const std::string &path,
                                  std::chrono::milliseconds remaining
                                  = std::chrono::milliseconds(2000))
    {
        caller_request made;
        made.id = "request-1";
        made.message.method = "GET";
        made.message.target = path;
        made.message.headers = {{"Host", "shop.example"}};
        made.remaining = remaining;
        return made;
    }

    std::uint64_t begin(const std::string &path)
    {
        return subject.begin(
            request(path), [this](const caller_answer &answer) { answers.push_back(answer); }, now);
    }

    void advance(std::chrono::milliseconds step)
    {
        now += step;
        subject.tick(now);
    }

    // Returns the requests sent so far.
    std::vector<sent_message> forwards() const
    {
        std::vector<sent_message> found;
        for (const sent_message &each : sent) {
            if (std::holds_alternative<forward_request>(each.body)) {
                found.push_back(each);
            }
        }
        return found;
    }

    forward_request lastForward() const
    {
        return std::get<forward_request>(forwards().back().body);
    }

    static std::uint64_t numberOf(const sent_message &forward)
    {
        return std::get<forward_request>(forward.body).number;
    }

    std::size_t cancels() const
    {
        std::size_t count = 0;
        for (const sent_message &each : sent) {
            count += std::holds_alternative<forward_cancel>(each.body) ? 1 : 0;
        }
        return count;
    }

    void answerLast(forward_answer answer)
    {
        const sent_message last = forwards().back();
        answer.number = numberOf(last);
        answer.load.slots = 4;
        subject.handle(last.peer, answer, now);
    }

    static forward_answer answered(unsigned status)
    {
        forward_answer made;
        made.outcome = forward_outcome::Answered;
        made.status = status;
        made.wasSentToServer = true;
        return made;
    }

    static forward_answer notRun(forward_reason reason)
    {
        forward_answer made;
        made.outcome = forward_outcome::NotRun;
        made.reason = reason;
        made.retryAfter = std::chrono::milliseconds(200);
        return made;
    }

    static forward_answer unknown()
    {
        forward_answer made;
        made.outcome = forward_outcome::Unknown;
        made.reason = forward_reason::Broken;
        return made;
    }

    dispatcher subject;
    core::monotonic_time now{std::chrono::seconds(100)};
    std::vector<sent_message> sent;
    std::vector<caller_answer> answers;
    std::vector<core::endpoint> closedLinks;
    // Messages to these nodes are dropped.
    std::set<core::endpoint> blocked;

private:
    dispatcher_hooks hooks()
    {
        return dispatcher_hooks{[this](const core::endpoint &peer, const message &body) {
                                    if (blocked.contains(peer)) {
                                        return false;
                                    }
                                    sent.push_back(sent_message{peer, body});
                                    return true;
                                },
                                [this](const core::endpoint &peer) { closedLinks.push_back(peer); },
                                [](const core::endpoint &, reachability_change) {
                                }};
    }
};

} // namespace jackdawweir::forwarding
