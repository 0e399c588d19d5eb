#include "jackdawweir/proxy/upstream_client.h"

#include <algorithm>
#include <string>
#include <string_view>

#include <curl/curl.h>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace jackdawweir::proxy {

namespace {

// A backend server accepts a connection in about 1 ms, or 30 ms between regions. A server that
// takes longer than this timeout is down or unreachable, and the remaining time is better spent on
// another server.
constexpr std::chrono::milliseconds connectTimeout{250};

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
    http_response response;
    // Whether the empty line after the headers arrived. libcurl reports success where the
    // connection is closed within the headers.
    bool isHeadComplete = false;
    // The bytes of all header lines, also those of interim responses and trailers.
    std::size_t headerBytes = 0;
    bool tooLarge = false;
};

std::size_t collectBody(char *data, std::size_t size, std::size_t count, void *target)
{
    auto *collector = static_cast<response_collector *>(target);
    if (collector->response.body.size() + size * count > maxResponseBodyBytes) {
        collector->tooLarge = true;
        return 0;
    }
    collector->response.body.append(data, size * count);
    return size * count;
}

std::size_t collectHeader(char *data, std::size_t size, std::size_t count, void *target)
{
    auto *collector = static_cast<response_collector *>(target);
    const absl::string_view line(data, size * count);
    collector->headerBytes += line.size();
    if (collector->headerBytes > maxResponseHeaderBytes) {
        collector->tooLarge = true;
        return 0;
    }
    if (absl::StartsWith(line, "HTTP/")) {
        // A status line starts a new response. Headers of an interim response are dropped.
        collector->response.headers.clear();
        collector->isHeadComplete = false;
        return size * count;
    }
    collector->isHeadComplete = collector->isHeadComplete || line == "\r\n" || line == "\n";
    const std::size_t colon = line.find(':');
    if (colon != absl::string_view::npos) {
        collector->response.headers.push_back(
            http_header{std::string(line.substr(0, colon)),
                        std::string(absl::StripAsciiWhitespace(line.substr(colon + 1)))});
    }
    return size * count;
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
    return collector.response.headers.empty() ? transfer_state::ConnectionLost
                                              : transfer_state::Truncated;
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
        curl_easy_setopt(handle,
                         CURLOPT_CONNECTTIMEOUT_MS,
                         static_cast<long>(std::min(connectTimeout, request.timeout).count()));
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
    long status = 0;
    curl_easy_getinfo(m_state->handle, CURLINFO_RESPONSE_CODE, &status);
    collector.response.status = static_cast<unsigned>(status);
    const bool complete = collector.isHeadComplete && isFinalStatus(collector.response.status)
        && (hasKnownEnd(m_state->handle, collector.response.headers)
            || mayHaveEmptyBody(request.method, collector.response.status));
    result.state = complete ? transfer_state::Complete : transfer_state::Truncated;
    result.response = std::move(collector.response);
    return result;
}

} // namespace jackdawweir::proxy
