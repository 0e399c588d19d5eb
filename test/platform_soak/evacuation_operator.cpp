#include "platform_soak/evacuation_operator.h"

#include <array>
#include <thread>

#include <absl/strings/str_cat.h>

#include "platform_soak/http_client.h"

namespace jackdawweir::platform_soak {

namespace {

namespace beast_http = boost::beast::http;
using platform_process_test::mesh_fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint16_t operatorPort = 17506;
constexpr unsigned acknowledged = 200;
constexpr milliseconds callLimit{1'000};
constexpr milliseconds backoff{100};
// Longer than the core of a soak is without a majority.
constexpr seconds deliveryLimit{30};

} // namespace

evacuation_operator::evacuation_operator(const mesh_fleet &fleet,
                                         soak_journal &journal,
                                         unsigned seed)
    : m_fleet(fleet)
    , m_journal(journal)
    , m_engine(seed + 7)
{
}

void evacuation_operator::operate(const std::atomic<bool> &isDone)
{
    // Longer than evacuationS (5 s), so that the bound is observed.
    constexpr milliseconds leastLength{6'500};
    constexpr milliseconds poll{20};
    const std::array<const char *, 3> dataCentres{"a", "b", "c"};
    while (!isDone) {
        if (begin(dataCentres[m_engine() % dataCentres.size()])) {
            const soak_time until
                = std::chrono::steady_clock::now() + leastLength + milliseconds(m_engine() % 1'500);
            while (!isDone && std::chrono::steady_clock::now() < until) {
                std::this_thread::sleep_for(poll);
            }
            end();
        }
        std::this_thread::sleep_for(milliseconds(200 + m_engine() % 800));
    }
}

bool evacuation_operator::begin(const std::string &dataCentre)
{
    if (!deliver("/Evacuations.Begin/", dataCentre)) {
        return false;
    }
    const std::lock_guard lock(m_mutex);
    m_spans.push_back({dataCentre, std::chrono::steady_clock::now(), soak_time::max()});
    return true;
}

bool evacuation_operator::end()
{
    std::unique_lock lock(m_mutex);
    m_spans.back().endSentAt = std::chrono::steady_clock::now();
    const std::string dataCentre = m_spans.back().dataCentre;
    lock.unlock();
    return deliver("/Evacuations.Finish/", dataCentre);
}

bool evacuation_operator::deliver(const std::string &call, const std::string &dataCentre)
{
    const soak_time until = std::chrono::steady_clock::now() + deliveryLimit;
    for (int source = 1 + static_cast<int>(m_engine() % mesh_fleet::sourceCount);
         std::chrono::steady_clock::now() < until;
         source = source % mesh_fleet::sourceCount + 1) {
        http_client client({boost::asio::ip::make_address(m_fleet.sourceIp(source)), operatorPort},
                           callLimit);
        http_client::request_type request(beast_http::verb::post, call + dataCentre, 11);
        request.set(beast_http::field::host, "source");
        request.keep_alive(false);
        request.prepare_payload();
        const auto received = client.send(request);
        const unsigned status = received ? received->result_int() : 0;
        m_journal.write(absl::StrCat(
            "event=evacuation call=", call, dataCentre, " source=", source, " status=", status));
        if (status == acknowledged) {
            return true;
        }
        std::this_thread::sleep_for(backoff);
    }
    return false;
}

std::vector<evacuation_span> evacuation_operator::spans() const
{
    const std::lock_guard lock(m_mutex);
    return m_spans;
}

} // namespace jackdawweir::platform_soak
