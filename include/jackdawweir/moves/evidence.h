// Evidence about backend server versions: request counters that each node collects, that relays and
// the source leader sum, and that the sequential test compares.
//
//     evidence_recorder recorder;
//     recorder.record({service, version, route, dataCentre}, {.latency = 12ms});
//     uplink.add(recorder.takeInterval());              // every evidenceInterval
//     if (auto report = uplink.poll(now)) { send(*report); }

#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include <msgpack.hpp>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/wire/chrono_adaptor.h"

namespace jackdawweir::moves {

// Nodes report their counters at this interval. A shorter one costs more messages; a longer one
// delays the stop of a bad version by the same time.
constexpr std::chrono::milliseconds evidenceInterval{250};

// Identifies the counters of one stratum (route and data centre) and version. The request kind
// needs no key of its own, since it is a property of the route.
struct evidence_key {
    core::service_name service;
    core::version_name version;
    core::route_name route;
    core::data_centre_name dataCentre;

    friend auto operator<=>(const evidence_key &, const evidence_key &) = default;

    MSGPACK_DEFINE_ARRAY(service, version, route, dataCentre)
};

// The cause of a failed response.
enum class fault_origin : std::uint8_t {
    None, // The response is correct.
    Server, // The server itself: an error, a timeout, or a closed connection.
    Downstream, // A server further down the call chain.
    Overload, // The request was shed, or refused because no slot was free.
    ColdStart, // The server is warming up.
    Defect, // The response is wrong, truncated or belongs to another request.
};

// The outcome of one request.
struct observation {
    fault_origin origin = fault_origin::None;
    std::chrono::nanoseconds latency{0};
    // True while the server handles its first requests; the latency is not compared then.
    bool isColdServer = false;
};

// A histogram of latencies from 0.1 ms to about 6.5 s. Each bucket's bound is the previous one's
// times two to the power of a quarter.
class latency_histogram
{
public:
    static constexpr std::size_t bucketCount = 64;
    static constexpr std::size_t bucketsPerDoubling = 4;

    void add(std::chrono::nanoseconds latency);
    void merge(const latency_histogram &other);

    std::uint64_t total() const;
    std::uint64_t countIn(std::size_t bucket) const;

    static std::size_t bucketOf(std::chrono::nanoseconds latency);

    // Encoded as pairs of bucket and count, without the empty buckets.
    template<typename Packer>
    void msgpack_pack(Packer &packer) const
    {
        packer.pack(m_counts);
    }

    void msgpack_unpack(const msgpack::object &object);

    friend bool operator==(const latency_histogram &, const latency_histogram &) = default;

private:
    std::map<std::uint8_t, std::uint64_t> m_counts;
};

// Counters of one key over one interval. Merging adds them up, so its order has no effect.
struct evidence_counters {
    std::uint64_t requests = 0;
    std::uint64_t serverErrors = 0;
    std::uint64_t downstreamErrors = 0;
    std::uint64_t overloadErrors = 0;
    std::uint64_t coldStartErrors = 0;
    std::uint64_t defects = 0;
    // The sum of the latencies of all responses. Divided by the elapsed time, it gives the slots in
    // use.
    std::chrono::nanoseconds busy{0};
    // Latencies of correct responses, without those of servers in their cold start.
    latency_histogram latencies;

    void add(const observation &observed);
    void merge(const evidence_counters &other);

    // Returns the requests that count in the comparison of versions: those without an error from a
    // downstream server, an overload or a cold start.
    std::uint64_t comparable() const;
    // Returns the failures that the version itself caused.
    std::uint64_t ownFaults() const;

    friend bool operator==(const evidence_counters &, const evidence_counters &) = default;

    MSGPACK_DEFINE_ARRAY(requests,
                         serverErrors,
                         downstreamErrors,
                         overloadErrors,
                         coldStartErrors,
                         defects,
                         busy,
                         latencies)
};

struct evidence_cell {
    evidence_key key;
    evidence_counters counters;

    friend bool operator==(const evidence_cell &, const evidence_cell &) = default;

    MSGPACK_DEFINE_ARRAY(key, counters)
};

// Message: counters that have not been acknowledged. A resend carries the same sequence and the
// same cells.
struct evidence_report {
    core::host_name sender;
    // Increases with each start of the sender.
    std::uint64_t boot = 0;
    std::uint64_t sequence = 0;
    std::vector<evidence_cell> cells;

    friend bool operator==(const evidence_report &, const evidence_report &) = default;

    MSGPACK_DEFINE_ARRAY(sender, boot, sequence, cells)
};

// Message: the receiver has counted the report.
struct evidence_ack {
    core::host_name sender;
    std::uint64_t boot = 0;
    std::uint64_t sequence = 0;

    friend bool operator==(const evidence_ack &, const evidence_ack &) = default;

    MSGPACK_DEFINE_ARRAY(sender, boot, sequence)
};

// Sums counters by key. Nodes use it for the current interval, relays to merge reports.
class evidence_recorder
{
public:
    void record(const evidence_key &key, const observation &observed);
    void merge(const std::vector<evidence_cell> &cells);

    // Returns the counters since the last call and starts a new interval.
    std::vector<evidence_cell> takeInterval();

private:
    std::map<evidence_key, evidence_counters> m_counters;
};

// Sends counters to one peer. Only one report is in flight at a time; it is resent until it is
// acknowledged.
class evidence_uplink
{
public:
    evidence_uplink(core::host_name self, std::uint64_t boot, std::chrono::nanoseconds resendAfter);

    void add(const std::vector<evidence_cell> &cells);

    // Returns the report to send now, if any.
    std::optional<evidence_report> poll(core::monotonic_time now);

    void handle(const evidence_ack &ack);

    // Call when another peer takes over. Drops the report in flight, since the former peer may have
    // counted it: a lost interval only delays the test, while one that is counted twice could cause
    // the rollback of a good version.
    void changePeer();

private:
    core::host_name m_self;
    std::uint64_t m_boot;
    std::chrono::nanoseconds m_resendAfter;
    std::uint64_t m_sequence = 0;
    evidence_recorder m_pending;
    std::optional<evidence_report> m_inFlight;
    core::monotonic_time m_sentAt;
};

// Receives reports and counts each one exactly once.
class evidence_collector
{
public:
    // Returns the acknowledgement. A duplicate is acknowledged and not counted again.
    evidence_ack accept(const evidence_report &report);

    // Returns the sum of the counters accepted since the last call.
    std::vector<evidence_cell> takeInterval();

private:
    struct position {
        std::uint64_t boot = 0;
        std::uint64_t sequence = 0;

        friend auto operator<=>(const position &, const position &) = default;
    };

    std::map<core::host_name, position> m_last;
    evidence_recorder m_sum;
};

} // namespace jackdawweir::moves
