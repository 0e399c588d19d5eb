// Interface to the ledger of request keys, as request processing needs it.

#pragma once

#include <cstdint>
#include <variant>

#include "jackdawweir/ledger/key_claim.h"

namespace jackdawweir::proxy {

// Permission to send the request to a backend server. key_ledger::finish releases it.
struct run_permit {
    std::uint64_t claim = 0;
    core::request_key key;
};

// Either the request may run, or its caller receives a response without a run.
using claim_decision = std::variant<run_permit, ledger::answer_caller>;

// Called from request threads; implementations must be thread-safe.
class key_ledger
{
public:
    key_ledger() = default;
    key_ledger(const key_ledger &) = delete;
    key_ledger &operator=(const key_ledger &) = delete;
    virtual ~key_ledger() = default;

    // Claims a key and blocks until the claim is decided, for about ledger::claimTime at most. An
    // empty key is replaced by a new one.
    virtual claim_decision claim(const core::request_key &callersKey, ledger::claim_mode mode) = 0;

    // Reports the result of the run. Blocks until the caller may be answered, and returns the
    // decision.
    virtual ledger::answer_caller finish(const run_permit &permit, const ledger::run_result &result)
        = 0;
};

} // namespace jackdawweir::proxy
