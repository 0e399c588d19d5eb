// Loopback proxies for the links between the processes of a mesh, whose connections can lose
// packets or go silent for good. The processes use their real network stacks, which retransmit and
// time out as between hosts.
//
//     link_proxies proxies;
//     proxies.add("127.1.1.1", 17520, 27520);
//     proxies.silence([](const std::string &from, const std::string &to) { return true; },
//                     silence_kind::Unacknowledged);

#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <linux/filter.h>
#include <sys/socket.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "jackdawweir/wire/frame.h"

namespace jackdawweir::platform_process_test {

// Selects connections by the addresses of the process that opened them and the one it connected to.
using link_selector = std::function<bool(const std::string &from, const std::string &to)>;

// Which way packets are lost.
enum class lost_packets : std::uint8_t {
    None,
    Both,
    // Only those of the process that opened the connection.
    FromOpener,
    // Only those of the process that accepted it.
    FromAcceptor,
};

enum class silence_kind : std::uint8_t {
    // No packet passes, so that sent data stays unacknowledged.
    Unacknowledged,
    // Something between the processes acknowledges what they send and passes nothing on.
    Acknowledged,
};

namespace internal {

using tcp = boost::asio::ip::tcp;

// Makes the kernel drop every packet that arrives for the socket, or lets them pass again.
inline void dropPackets(tcp::socket &socket, bool isDropping)
{
    sock_filter dropAll{BPF_RET | BPF_K, 0, 0, 0};
    const sock_fprog program{1, &dropAll};
    const int unused = 0;
    if (isDropping) {
        setsockopt(socket.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
    } else {
        setsockopt(socket.native_handle(), SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused);
    }
}

class proxied_link : public std::enable_shared_from_this<proxied_link>
{
public:
    proxied_link(tcp::socket opener, std::string to)
        : m_openerSide(std::move(opener))
        , m_acceptorSide(m_openerSide.get_executor())
        , m_to(std::move(to))
    {
    }

    void open(const tcp::endpoint &target, std::function<void()> identified)
    {
        m_identified = std::move(identified);
        m_acceptorSide.async_connect(
            target, [self = shared_from_this()](const boost::system::error_code &failure) {
                if (failure) {
                    self->close();
                    return;
                }
                self->pump(self->m_openerSide, self->m_acceptorSide, self->m_fromOpener);
                self->pump(self->m_acceptorSide, self->m_openerSide, self->m_fromAcceptor);
            });
    }

    void lose(lost_packets lost)
    {
        dropPackets(m_openerSide, lost == lost_packets::Both || lost == lost_packets::FromOpener);
        dropPackets(m_acceptorSide,
                    lost == lost_packets::Both || lost == lost_packets::FromAcceptor);
    }

    bool isSelectedBy(const link_selector &selector) const
    {
        return !m_from.empty() && selector(m_from, m_to);
    }

    bool hasEnd(const std::string &ip) const
    {
        return m_from == ip || m_to == ip;
    }

    const std::string &openedBy() const
    {
        return m_from;
    }

    void reset()
    {
        for (tcp::socket *each : {&m_openerSide, &m_acceptorSide}) {
            boost::system::error_code ignored;
            each->set_option(boost::asio::socket_base::linger(true, 0), ignored);
        }
        close();
    }

    bool isClosed() const
    {
        return m_isClosed;
    }

    void silenceForGood(silence_kind kind)
    {
        m_isSilentForGood = true;
        m_discards = kind == silence_kind::Acknowledged;
        lose(m_discards ? lost_packets::None : lost_packets::Both);
    }

    // A connection that is silent for good stays so when a cut ends.
    bool isSilentForGood() const
    {
        return m_isSilentForGood;
    }

private:
    using input_buffer = std::array<char, 16384>;

    void pump(tcp::socket &from, tcp::socket &to, input_buffer &buffer)
    {
        from.async_read_some(
            boost::asio::buffer(buffer),
            [self = shared_from_this(), &from, &to, &buffer](
                const boost::system::error_code &failure, std::size_t size) {
                if (failure) {
                    self->close();
                    return;
                }
                if (&from == &self->m_openerSide) {
                    self->identify({buffer.data(), size});
                }
                if (self->m_discards) {
                    self->pump(from, to, buffer);
                    return;
                }
                boost::asio::async_write(
                    to,
                    boost::asio::buffer(buffer.data(), size),
                    [self, &from, &to, &buffer](const boost::system::error_code &writeFailure,
                                                std::size_t) {
                        if (writeFailure) {
                            self->close();
                        } else {
                            self->pump(from, to, buffer);
                        }
                    });
            });
    }

    // The first frame names the mesh address of the process that opened the connection.
    void identify(std::string_view bytes)
    {
        if (!m_from.empty()) {
            return;
        }
        m_splitter.append(bytes);
        if (const std::optional<wire::frame> first = m_splitter.next()) {
            m_from = first->payload.substr(0, first->payload.rfind(':'));
            m_identified();
        }
    }

    void close()
    {
        if (m_discards) {
            // The other side must not see an end.
            return;
        }
        m_isClosed = true;
        boost::system::error_code ignored;
        m_openerSide.close(ignored);
        m_acceptorSide.close(ignored);
    }

    tcp::socket m_openerSide;
    tcp::socket m_acceptorSide;
    std::string m_from;
    std::string m_to;
    std::function<void()> m_identified;
    bool m_isClosed = false;
    bool m_isSilentForGood = false;
    bool m_discards = false;
    wire::frame_splitter m_splitter;
    input_buffer m_fromOpener{};
    input_buffer m_fromAcceptor{};
};

} // namespace internal

class link_proxies
{
public:
    link_proxies()
        : m_work(boost::asio::make_work_guard(m_context))
        , m_thread([this] { m_context.run(); })
    {
    }

    ~link_proxies()
    {
        m_context.stop();
        m_thread.join();
    }

    link_proxies(const link_proxies &) = delete;
    link_proxies &operator=(const link_proxies &) = delete;

    // Passes connections to the port `from` of the address on to its port `to`.
    void add(const std::string &ip, std::uint16_t from, std::uint16_t to)
    {
        run([&] {
            const auto address = boost::asio::ip::make_address(ip);
            m_listeners.push_back(std::make_unique<listener>(
                listener{internal::tcp::acceptor(m_context, {address, from}),
                         {address, from},
                         {address, to},
                         ip}));
            acceptNext(*m_listeners.back());
        });
    }

    // The selected connections that are open now go silent for good. New ones work.
    void silence(const link_selector &selector, silence_kind kind)
    {
        run([&] {
            for (const auto &each : openLinks()) {
                if (each->isSelectedBy(selector)) {
                    each->silenceForGood(kind);
                }
            }
        });
    }

    // Loses packets of the selected connections, open and new ones, until heal() is called.
    void cut(const link_selector &selector, lost_packets lost = lost_packets::Both)
    {
        run([&] {
            m_cut = selector;
            m_lost = lost;
            for (const auto &each : openLinks()) {
                loseIfCut(*each);
            }
        });
    }

    // Resets the selected connections, open and new ones, until heal() is called. What they held is
    // lost.
    void reset(const link_selector &selector)
    {
        run([&] {
            m_reset = selector;
            for (const auto &each : openLinks()) {
                if (each->isSelectedBy(selector)) {
                    each->reset();
                }
            }
        });
    }

    // Resets the connections from and to the address, refuses new ones to it and resets new ones
    // from it, until accept() is called.
    void refuse(const std::string &ip)
    {
        run([&] {
            listenerOf(ip).acceptor.close();
            m_refused.insert(ip);
            for (const auto &each : openLinks()) {
                if (each->hasEnd(ip)) {
                    each->reset();
                }
            }
        });
    }

    void accept(const std::string &ip)
    {
        run([&] {
            m_refused.erase(ip);
            listener &refusing = listenerOf(ip);
            const internal::tcp::endpoint endpoint = refusing.listensAt;
            refusing.acceptor = internal::tcp::acceptor(m_context, endpoint);
            acceptNext(refusing);
        });
    }

    // Lets packets pass again; what was lost is sent again at the next retransmission.
    void heal()
    {
        run([&] {
            m_cut = nullptr;
            m_reset = nullptr;
            for (const auto &each : openLinks()) {
                if (!each->isSilentForGood()) {
                    each->lose(lost_packets::None);
                }
            }
        });
    }

private:
    using link_pointer = std::shared_ptr<internal::proxied_link>;

    struct listener {
        internal::tcp::acceptor acceptor;
        internal::tcp::endpoint listensAt;
        internal::tcp::endpoint target;
        std::string ip;
    };

    listener &listenerOf(const std::string &ip)
    {
        const auto found = std::find_if(m_listeners.begin(),
                                        m_listeners.end(),
                                        [&](const auto &each) { return each->ip == ip; });
        return **found;
    }

    // Runs the function on the thread of the proxies and waits for it.
    void run(const std::function<void()> &function)
    {
        std::promise<void> done;
        boost::asio::post(m_context, [&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }

    void acceptNext(listener &accepting)
    {
        accepting.acceptor.async_accept([this, &accepting](const boost::system::error_code &failure,
                                                           internal::tcp::socket socket) {
            if (failure == boost::asio::error::operation_aborted) {
                return;
            }
            if (!failure) {
                const auto opened
                    = std::make_shared<internal::proxied_link>(std::move(socket), accepting.ip);
                m_links.push_back(opened);
                opened->open(accepting.target, [this, link = std::weak_ptr(opened)] {
                    if (const link_pointer identified = link.lock()) {
                        disrupt(*identified);
                    }
                });
            }
            acceptNext(accepting);
        });
    }

    void disrupt(internal::proxied_link &opened) const
    {
        const bool isReset = m_reset && opened.isSelectedBy(m_reset);
        if (isReset || m_refused.contains(opened.openedBy())) {
            opened.reset();
        } else {
            loseIfCut(opened);
        }
    }

    void loseIfCut(internal::proxied_link &link) const
    {
        if (m_cut && !link.isSilentForGood() && link.isSelectedBy(m_cut)) {
            link.lose(m_lost);
        }
    }

    const std::vector<link_pointer> &openLinks()
    {
        std::erase_if(m_links, [](const link_pointer &each) { return each->isClosed(); });
        return m_links;
    }

    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::vector<std::unique_ptr<listener>> m_listeners;
    std::vector<link_pointer> m_links;
    std::set<std::string> m_refused;
    link_selector m_cut;
    link_selector m_reset;
    lost_packets m_lost = lost_packets::None;
    std::thread m_thread;
};

} // namespace jackdawweir::platform_process_test
