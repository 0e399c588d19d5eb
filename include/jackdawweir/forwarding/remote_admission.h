// Estimates whether the servers of other data centres have room for requests of a service, from the
// latest requests that they admitted or refused.
//
// Answers overload of all data centres: a request and its body that cross to another data centre
// only to be refused there cost the links between data centres, and take time that the request
// lacks in the queue of a server nearby.
//
//     remote_admission remote;
//     remote.record(service, false, now);
//     if (remote.isLikely(service, now, engine)) { /* another data centre may be tried */ }

#pragma once

#include <chrono>
#include <map>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/core/random.h"

namespace jackdawweir::forwarding {

struct remote_admission_settings {
    // The weight of the latest request in the moving average of the admission rate.
    double weight = 0.1;
    // Admission is likely at this rate or above.
    double minRate = 0.5;
    // While admission is unlikely, this fraction of the requests is tried nevertheless, to notice
    // room that has become free.
    double probeFraction = 0.05;
    // An old observation loses half of its weight after this time.
    std::chrono::milliseconds halfLife{1'000};
};

class remote_admission
{
public:
    explicit remote_admission(const remote_admission_settings &settings = {});

    // Records whether a server of another data centre admitted a request of the service.
    void record(const core::service_name &service, bool isAdmitted, core::monotonic_time now);

    // Returns true if a request of the service should be tried in another data centre.
    bool isLikely(const core::service_name &service,
                  core::monotonic_time now,
                  core::random_engine &engine) const;

private:
    struct observed_rate {
        double refusalRate = 0;
        core::monotonic_time observedAt;
    };

    double refusalRateAt(const observed_rate &observed, core::monotonic_time now) const;

    remote_admission_settings m_settings;
    std::map<core::service_name, observed_rate> m_services;
};

} // namespace jackdawweir::forwarding
