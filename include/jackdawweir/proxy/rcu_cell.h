// A value that request threads read without a lock while another thread replaces it, over liburcu.
//
//     rcu_cell<routing_state> current;
//     current.store(std::make_shared<const routing_state>(...));          // control thread
//     const std::shared_ptr<const routing_state> state = current.load();  // request threads

#pragma once

#include <atomic>
#include <memory>

#include <urcu-bp.h>

namespace jackdawweir::proxy {

// The reader's critical section only copies the shared pointer, so a writer waits for microseconds
// and not for the end of a request.
template<typename Value>
class rcu_cell
{
public:
    using pointer = std::shared_ptr<const Value>;

    rcu_cell() = default;
    rcu_cell(const rcu_cell &) = delete;
    rcu_cell &operator=(const rcu_cell &) = delete;

    // No other thread may read or write any more.
    ~rcu_cell()
    {
        delete m_holder.load();
    }

    // Returns the current value, or nullptr before the first store.
    pointer load() const
    {
        urcu_bp_read_lock();
        const pointer *holder = m_holder.load(std::memory_order_acquire);
        pointer held = holder == nullptr ? nullptr : *holder;
        urcu_bp_read_unlock();
        return held;
    }

    // Replaces the value. Called by one thread at a time.
    void store(pointer next)
    {
        const pointer *previous
            = m_holder.exchange(new pointer(std::move(next)), std::memory_order_acq_rel);
        urcu_bp_synchronize_rcu();
        delete previous;
    }

private:
    std::atomic<const pointer *> m_holder{nullptr};
};

} // namespace jackdawweir::proxy
