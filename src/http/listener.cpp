#include "jackdawweir/http/listener.h"

#include <utility>

#include "http/server_connection.h"
#include "jackdawweir/transport/mesh_transport.h"

namespace jackdawweir::http {

exchange::exchange(std::weak_ptr<internal::server_connection> connection, request received)
    : m_connection(std::move(connection))
    , m_received(std::move(received))
{
}

const request &exchange::received() const
{
    return m_received;
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
    if (m_isStopped || m_isAccepting || m_connections.size() >= m_settings.maxConnections) {
        return;
    }
    m_isAccepting = true;
    m_acceptor.async_accept(
        [this](const boost::system::error_code &failure, boost::asio::ip::tcp::socket socket) {
            if (failure == boost::asio::error::operation_aborted) {
                return;
            }
            m_isAccepting = false;
            if (!failure) {
                const auto accepted
                    = std::make_shared<internal::server_connection>(*this, std::move(socket));
                m_connections.insert(accepted);
                accepted->start();
            }
            acceptNext();
        });
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
