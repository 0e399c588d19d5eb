// A value that request threads read without a lock while another thread replaces it, based on
// liburcu.
//
//     rcu_cell<routing_state> current;
//     current.store(std::make_shared<const routing_state>(...));          // control thread
//     const std::shared_ptr<const routing_state> state = current.load();  // request threads

#pragma once

#include <atomic>
#include <memory>

#include <urcu-bp.h>

namespace jackdawweir::proxy {

// The critical section of a reader only copies the shared pointer, so that a writer waits for
// microseconds and not for a request to complete.
template<typename Value>
class rcu_cell
{
public:
    using pointer = std::shared_ptr<const Value>;

    rcu_cell() = default;
    rcu_cell(const rcu_cell &) = delete;
    rcu_cell &operator=(const rcu_cell &) = delete;

    // No other thread may access the cell at this point.
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

    // Replaces the value. Calls must not overlap.
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
