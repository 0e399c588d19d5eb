#include "jackdawweir/core/address.h"

#include <absl/strings/numbers.h>
#include <arpa/inet.h>

namespace jackdawweir::core {

namespace {

bool isAddress(const std::string &host)
{
    in6_addr parsed{};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &parsed) == 1;
    }
    return inet_pton(AF_INET, host.c_str(), &parsed) == 1;
}

} // namespace

bool isAddressAndPort(const std::string &text)
{
    constexpr int maxPort = 65'535;
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || !isAddress(text.substr(0, colon))) {
        return false;
    }
    const std::string port = text.substr(colon + 1);
    int number = 0;
    const bool isNumber = !port.empty() && port.front() != '0'
        && port.find_first_not_of("0123456789") == std::string::npos;
    return isNumber && absl::SimpleAtoi(port, &number) && number <= maxPort;
}

} // namespace jackdawweir::core
