#include "platform_soak/configuration_operator.h"

#include <algorithm>
#include <iterator>
#include <thread>
#include <utility>
#include <vector>

#include "platform_soak/http_client.h"

namespace jackdawweir::platform_soak {

namespace {

namespace beast_http = boost::beast::http;
using platform_process_test::mesh_fleet;
using std::chrono::milliseconds;

constexpr std::uint16_t operatorPort = 17506;
// An operator moves on to another source after a second without a response.
constexpr milliseconds callLimit{1'000};
constexpr std::size_t maxRoutes = 10;

int randomSource(std::mt19937 &engine)
{
    return 1 + static_cast<int>(engine() % mesh_fleet::sourceCount);
}

milliseconds randomPause(std::mt19937 &engine)
{
    return milliseconds(20 + engine() % 230);
}

bool isClear(int status)
{
    constexpr int timeout = 408;
    constexpr int tooMany = 429;
    return status == 200
        || (status >= 400 && status < 500 && status != timeout && status != tooMany);
}

std::optional<http_client::response_type> call(const std::string &ip,
                                               beast_http::verb method,
                                               const std::string &target,
                                               const configuration_change *change)
{
    http_client client({boost::asio::ip::make_address(ip), operatorPort}, callLimit);
    http_client::request_type request(method, target, 11);
    request.set(beast_http::field::host, "source");
    request.keep_alive(false);
    if (change != nullptr) {
        request.set("X-Jackdawweir-Base-Version", "r" + std::to_string(change->baseVersion));
        request.body() = change->text;
    }
    request.prepare_payload();
    return client.send(request);
}

} // namespace

configuration_operator::configuration_operator(const mesh_fleet &fleet,
                                               configuration_history &history,
                                               soak_journal &journal,
                                               unsigned seed)
    : m_fleet(fleet)
    , m_history(history)
    , m_journal(journal)
    , m_seed(seed)
{
}

void configuration_operator::setOnlySource(int source)
{
    m_onlySource = source;
}

int configuration_operator::sourceFor(int drawn) const
{
    const int only = m_onlySource;
    return only == 0 ? drawn : only;
}

void configuration_operator::operate(const std::atomic<bool> &isDone)
{
    constexpr unsigned kinds = 10;
    std::mt19937 engine(m_seed + 1);
    while (!isDone) {
        const unsigned kind = engine() % kinds;
        const bool isRace = m_onlySource != 0 || (kind >= 6 && kind < 8);
        if (m_base && isRace) {
            sendRace(engine, isDone);
        } else if (!m_base || kind < 6) {
            sendOne(engine, isDone);
        } else {
            sendInvalid(engine, isDone);
        }
        read(sourceFor(randomSource(engine)));
        std::this_thread::sleep_for(m_onlySource == 0 ? randomPause(engine) : milliseconds(2));
    }
}

int configuration_operator::sendOnce(const configuration_change &change, int source)
{
    const auto received
        = call(m_fleet.sourceIp(source), beast_http::verb::post, "/Config.Replace", &change);
    const int status = received ? static_cast<int>(received->result_int()) : 0;
    m_journal.write("event=change id=" + std::to_string(change.id) + " version="
                    + std::to_string(change.version) + " base=" + std::to_string(change.baseVersion)
                    + " defect=" + nameOf(change.fault) + " source=" + std::to_string(source)
                    + " status=" + std::to_string(status));
    if (isClear(status)) {
        m_history.addAnswer(change.id, status);
    }
    return status;
}

change_outcome configuration_operator::deliver(const configuration_change &change,
                                               int firstSource,
                                               const std::atomic<bool> &isDone)
{
    constexpr milliseconds firstBackoff{25};
    constexpr milliseconds longestBackoff{400};
    // Calls at one source alone follow closely, so that some arrive while it starts.
    constexpr milliseconds shortBackoff{2};
    m_history.addSent(change);
    milliseconds backoff = firstBackoff;
    for (int source = firstSource; !isDone; source = source % mesh_fleet::sourceCount + 1) {
        const int status = sendOnce(change, sourceFor(source));
        if (isClear(status)) {
            return status == 200 ? change_outcome::Accepted : change_outcome::Refused;
        }
        std::this_thread::sleep_for(m_onlySource == 0 ? backoff : shortBackoff);
        backoff = std::min(2 * backoff, longestBackoff);
    }
    return change_outcome::Unknown;
}

// Adds, removes or re-targets one route of the base.
route_map configuration_operator::changedRoutes(std::size_t id, std::mt19937 &engine) const
{
    route_map routes = m_base ? m_base->routes : route_map();
    const std::uint32_t drawn = engine() % 4;
    if (routes.size() < 3 || (drawn < 2 && routes.size() < maxRoutes)) {
        routes[ownPrefix(id)] = engine() % 2 == 0 ? "stock" : "desk";
        return routes;
    }
    const auto chosen
        = std::next(routes.begin(), static_cast<std::ptrdiff_t>(engine() % routes.size()));
    if (drawn == 3) {
        chosen->second = chosen->second == "stock" ? "desk" : "stock";
    } else {
        routes.erase(chosen);
    }
    return routes;
}

void configuration_operator::sendOne(std::mt19937 &engine, const std::atomic<bool> &isDone)
{
    constexpr unsigned changesPerRepeat = 4;
    const std::size_t id = m_history.nextId();
    const configuration_change change
        = makeChange(id, m_base ? &*m_base : nullptr, 1 + engine() % 3, changedRoutes(id, engine));
    if (deliver(change, randomSource(engine), isDone) != change_outcome::Accepted) {
        readBase(engine, isDone);
        return;
    }
    m_base = change;
    if (engine() % changesPerRepeat == 0) {
        repeatAccepted(change, sourceFor(randomSource(engine)));
    }
}

void configuration_operator::repeatAccepted(const configuration_change &change, int source)
{
    sendOnce(change, source);
}

void configuration_operator::sendRace(std::mt19937 &engine, const std::atomic<bool> &isDone)
{
    // Up to eight orders are in progress at once; more than two only at one source.
    constexpr std::size_t maxOpenOrders = 8;
    const std::size_t count = m_onlySource == 0 ? 2 : 2 + engine() % (maxOpenOrders - 1);
    std::vector<configuration_change> changes;
    std::vector<change_outcome> outcomes(count, change_outcome::Unknown);
    for (std::size_t index = 0; index < count; ++index) {
        const std::size_t id = m_history.nextId();
        changes.push_back(makeChange(id, &*m_base, 1 + engine() % 2, changedRoutes(id, engine)));
    }
    const int first = randomSource(engine);
    const milliseconds delay(engine() % 20);
    std::vector<std::thread> others;
    for (std::size_t index = 1; index < count; ++index) {
        const int source = 1 + (first + static_cast<int>(engine() % 2)) % mesh_fleet::sourceCount;
        others.emplace_back([&, index, source] {
            std::this_thread::sleep_for(delay);
            outcomes[index] = deliver(changes[index], source, isDone);
        });
    }
    outcomes[0] = deliver(changes[0], first, isDone);
    for (std::thread &each : others) {
        each.join();
    }
    for (std::size_t index = 0; index < count; ++index) {
        if (outcomes[index] == change_outcome::Accepted) {
            m_base = changes[index];
            repeatAccepted(changes[index], sourceFor(randomSource(engine)));
        }
    }
    // More than one is accepted only in error, which the read of the base shows.
    readBase(engine, isDone);
}

void configuration_operator::sendInvalid(std::mt19937 &engine, const std::atomic<bool> &isDone)
{
    const std::size_t id = m_history.nextId();
    const defect fault = allDefects.at(engine() % allDefects.size());
    if (deliver(makeInvalidChange(id, *m_base, fault), randomSource(engine), isDone)
        == change_outcome::Accepted) {
        readBase(engine, isDone);
    }
}

std::optional<configuration_change> configuration_operator::read(int source)
{
    configuration_read made{std::chrono::steady_clock::now(), source, ""};
    const auto received
        = call(m_fleet.sourceIp(source), beast_http::verb::get, "/Config.Read", nullptr);
    if (!received || received->result() != beast_http::status::ok) {
        return std::nullopt;
    }
    made.text = received->body();
    m_history.addRead(made);
    std::optional<configuration_change> found = m_history.find(made.text);
    m_journal.write("event=read source=" + std::to_string(source)
                    + " id=" + (found ? std::to_string(found->id) : "unknown")
                    + " version=" + (found ? std::to_string(found->version) : "unknown"));
    return found;
}

// Reads the version that the next change builds on.
void configuration_operator::readBase(std::mt19937 &engine, const std::atomic<bool> &isDone)
{
    constexpr milliseconds pause{50};
    while (!isDone) {
        if (auto found = read(sourceFor(randomSource(engine)))) {
            m_base = std::move(found);
            return;
        }
        // No configuration at all is held before the first change.
        if (!m_base) {
            return;
        }
        std::this_thread::sleep_for(pause);
    }
}

} // namespace jackdawweir::platform_soak
