#include "jackdawweir/proxy/upstream_client.h"

#include <algorithm>
#include <string>
#include <string_view>

#include <curl/curl.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include "proxy/response_head.h"

namespace jackdawweir::proxy {

namespace {

struct header_list {
    curl_slist *first = nullptr;

    header_list() = default;
    header_list(const header_list &) = delete;
    header_list &operator=(const header_list &) = delete;
    ~header_list()
    {
        curl_slist_free_all(first);
    }

    void add(const std::string &line)
    {
        first = curl_slist_append(first, line.c_str());
    }
};

// Buffers the response while libcurl receives it.
struct response_collector {
    std::size_t maxBodyBytes = maxResponseBodyBytes;
    internal::response_head head;
    std::string body;
    // The bytes of all header lines, also those of interim responses and trailers.
    std::size_t headerBytes = 0;
    bool tooLarge = false;
    bool isMalformed = false;
};

std::size_t collectBody(char *data, std::size_t size, std::size_t count, void *target)
{
    auto *collector = static_cast<response_collector *>(target);
    if (collector->body.size() + size * count > collector->maxBodyBytes) {
        collector->tooLarge = true;
        return 0;
    }
    collector->body.append(data, size * count);
    return size * count;
}

std::size_t collectHeader(char *data, std::size_t size, std::size_t count, void *target)
{
    auto *collector = static_cast<response_collector *>(target);
    const std::string_view line(data, size * count);
    collector->headerBytes += line.size();
    collector->tooLarge = collector->headerBytes > maxResponseHeaderBytes;
    if (collector->tooLarge) {
        return 0;
    }
    collector->isMalformed = !collector->head.readLine(line);
    return collector->isMalformed ? 0 : line.size();
}

// A response with neither a length nor chunked encoding ends when its connection closes, so that a
// complete response cannot be distinguished from a truncated one.
bool hasKnownEnd(CURL *handle, const http_headers &headers)
{
    curl_off_t length = -1;
    curl_easy_getinfo(handle, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
    const std::optional<std::string> encoding = findHeader(headers, "Transfer-Encoding");
    return length >= 0 || (encoding && absl::EqualsIgnoreCase(*encoding, "chunked"));
}

// libcurl also returns responses whose status is none of HTTP.
bool isFinalStatus(unsigned status)
{
    constexpr unsigned first = 200;
    constexpr unsigned last = 599;
    return status >= first && status <= last;
}

bool mayHaveEmptyBody(const std::string &method, unsigned status)
{
    constexpr unsigned noContent = 204;
    constexpr unsigned notModified = 304;
    return method == "HEAD" || status == noContent || status == notModified;
}

transfer_state failedState(CURLcode code, CURL *handle, const response_collector &collector)
{
    curl_off_t connectedAfter = 0;
    curl_easy_getinfo(handle, CURLINFO_CONNECT_TIME_T, &connectedAfter);
    long requestBytes = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &requestBytes);
    if (code == CURLE_COULDNT_CONNECT || (connectedAfter == 0 && requestBytes == 0)) {
        return transfer_state::NotConnected;
    }
    if (collector.tooLarge) {
        return transfer_state::TooLarge;
    }
    if (code == CURLE_OPERATION_TIMEDOUT) {
        return transfer_state::TimedOut;
    }
    const bool hasBegun = collector.isMalformed || !collector.head.headers().empty();
    return hasBegun ? transfer_state::Truncated : transfer_state::ConnectionLost;
}

} // namespace

struct upstream_client::state {
    CURL *handle = curl_easy_init();

    state() = default;
    state(const state &) = delete;
    state &operator=(const state &) = delete;
    ~state()
    {
        curl_easy_cleanup(handle);
    }

    void configure(const upstream_request &request,
                   const header_list &headers,
                   response_collector &collector) const
    {
        curl_easy_reset(handle);
        const std::string url = absl::StrCat("http://", request.address.value, request.target);
        curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
        curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
        curl_easy_setopt(handle, CURLOPT_PROXY, "");
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
        curl_easy_setopt(handle, CURLOPT_NOBODY, request.method == "HEAD" ? 1L : 0L);
        if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
            curl_easy_setopt(
                handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
            curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
        }
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.first);
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
        curl_easy_setopt(
            handle,
            CURLOPT_CONNECTTIMEOUT_MS,
            static_cast<long>(std::min(request.connectTimeout, request.timeout).count()));
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, request.mayReuseConnection ? 0L : 1L);
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, collectBody);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, &collector);
        curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, collectHeader);
        curl_easy_setopt(handle, CURLOPT_HEADERDATA, &collector);
    }
};

upstream_client::upstream_client()
    : m_state(std::make_unique<state>())
{
}

upstream_client::~upstream_client() = default;

void upstream_client::closeConnections()
{
    m_state = std::make_unique<state>();
}

upstream_result upstream_client::send(const upstream_request &request)
{
    header_list headers;
    for (const http_header &each : request.headers) {
        headers.add(absl::StrCat(each.name, ": ", each.value));
    }
    headers.add("Expect:");

    response_collector collector;
    collector.maxBodyBytes = request.maxBodyBytes;
    m_state->configure(request, headers, collector);
    const CURLcode code = curl_easy_perform(m_state->handle);

    upstream_result result;
    curl_off_t elapsedMicros = 0;
    curl_easy_getinfo(m_state->handle, CURLINFO_TOTAL_TIME_T, &elapsedMicros);
    curl_off_t connectedMicros = 0;
    curl_easy_getinfo(m_state->handle, CURLINFO_PRETRANSFER_TIME_T, &connectedMicros);
    result.elapsed = std::chrono::microseconds(elapsedMicros);
    result.responseTime = result.elapsed - std::chrono::microseconds(connectedMicros);
    if (code != CURLE_OK) {
        result.state = failedState(code, m_state->handle, collector);
        return result;
    }
    const internal::response_head &head = collector.head;
    const bool complete = head.isComplete() && isFinalStatus(head.status())
        && (hasKnownEnd(m_state->handle, head.headers())
            || mayHaveEmptyBody(request.method, head.status()));
    result.state = complete ? transfer_state::Complete : transfer_state::Truncated;
    result.response = http_response{head.status(), head.headers(), std::move(collector.body)};
    return result;
}

} // namespace jackdawweir::proxy
