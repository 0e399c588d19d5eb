#include "jackdawweir/http/listener.h"

#include <utility>

#include "http/server_connection.h"
#include "jackdawweir/transport/mesh_transport.h"

namespace jackdawweir::http {

namespace {

// The delay after a failed accept, which usually means that no descriptor is free.
constexpr std::chrono::milliseconds acceptRetryDelay{100};

} // namespace

exchange::exchange(std::weak_ptr<internal::server_connection> connection, request received)
    : m_connection(std::move(connection))
    , m_received(std::move(received))
{
}

const request &exchange::received() const
{
    return m_received;
}

request exchange::takeReceived()
{
    return std::exchange(m_received, {});
}

void exchange::respond(response sent)
{
    if (std::exchange(m_isAnswered, true) || m_isDisconnected) {
        return;
    }
    m_disconnectHandler = nullptr;
    if (const std::shared_ptr<internal::server_connection> connection = m_connection.lock()) {
        connection->respond(*this, std::move(sent));
    }
}

void exchange::abort()
{
    m_disconnectHandler = nullptr;
    m_isAnswered = true;
    if (const std::shared_ptr<internal::server_connection> connection = m_connection.lock()) {
        connection->close();
    }
}

void exchange::onDisconnect(std::function<void()> handler)
{
    m_disconnectHandler = std::move(handler);
}

listener::listener(boost::asio::io_context &context,
                   const listener_settings &settings,
                   exchange_handler handler)
    : m_context(context)
    , m_settings(settings)
    , m_handler(std::move(handler))
    , m_acceptor(context)
    , m_acceptTimer(context)
{
}

listener::~listener()
{
    stop();
}

core::status listener::start(const core::endpoint &address)
{
    const core::result<boost::asio::ip::tcp::endpoint> parsed = transport::parseEndpoint(address);
    if (const core::error *failure = core::errorIn(parsed)) {
        return *failure;
    }
    boost::system::error_code failure;
    m_acceptor.open(core::valueIn(parsed).protocol(), failure);
    m_acceptor.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true), failure);
    m_acceptor.bind(core::valueIn(parsed), failure);
    if (!failure) {
        m_acceptor.listen(boost::asio::socket_base::max_listen_connections, failure);
    }
    if (failure) {
        return core::error{
            core::error_code::Unavailable, "listen", address.value, failure.message()};
    }
    acceptNext();
    return core::okStatus();
}

void listener::setLimits(const listener_settings &settings)
{
    m_settings = settings;
}

void listener::acceptNext()
{
    const bool isFull = m_connections.size() >= m_settings.maxConnections;
    if (m_isStopped || m_isAccepting || (isFull && dispensableConnection() == nullptr)) {
        return;
    }
    m_isAccepting = true;
    m_acceptor.async_accept(
        [this](const boost::system::error_code &failure, boost::asio::ip::tcp::socket socket) {
            if (failure == boost::asio::error::operation_aborted) {
                return;
            }
            if (failure) {
                acceptAfterDelay();
                return;
            }
            add(std::move(socket));
            m_isAccepting = false;
            acceptNext();
        });
}

void listener::acceptAfterDelay()
{
    m_acceptTimer.expires_after(acceptRetryDelay);
    m_acceptTimer.async_wait([this](const boost::system::error_code &failure) {
        if (!failure) {
            m_isAccepting = false;
            acceptNext();
        }
    });
}

void listener::add(boost::asio::ip::tcp::socket socket)
{
    if (m_connections.size() >= m_settings.maxConnections) {
        if (const auto replaced = dispensableConnection()) {
            if (m_settings.guard != nullptr) {
                m_settings.guard->recordReplaced(*replaced);
            }
            replaced->close();
        }
    }
    const auto accepted = std::make_shared<internal::server_connection>(*this, std::move(socket));
    m_connections.insert(accepted);
    accepted->start();
}

// Returns the connection that has waited longest for its caller, or nullptr.
std::shared_ptr<internal::server_connection> listener::dispensableConnection() const
{
    std::shared_ptr<internal::server_connection> longest;
    for (const auto &each : m_connections) {
        const auto since = each->waitsForCallerSince();
        if (since && (longest == nullptr || since < longest->waitsForCallerSince())) {
            longest = each;
        }
    }
    return longest;
}

void listener::drain()
{
    const auto connections = m_connections;
    for (const auto &each : connections) {
        each->drain();
    }
}

void listener::stop()
{
    m_isStopped = true;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    m_acceptTimer.cancel();
    const auto connections = m_connections;
    for (const auto &each : connections) {
        each->close();
    }
}

std::size_t listener::openRequests() const
{
    std::size_t open = 0;
    for (const auto &each : m_connections) {
        open += each->openRequests();
    }
    return open;
}

} // namespace jackdawweir::http
