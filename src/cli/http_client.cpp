#include "cli/http_client.h"

#include <memory>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <curl/curl.h>

namespace jackdawweir::cli {

namespace {

// All responses of the console are smaller than this; a larger response is a server error.
constexpr std::size_t maxReplyBytes = 64U << 20U;

std::size_t onBody(char *data, std::size_t size, std::size_t count, void *target)
{
    auto &body = *static_cast<std::string *>(target);
    const std::size_t bytes = size * count;
    if (body.size() + bytes > maxReplyBytes) {
        return 0;
    }
    body.append(data, bytes);
    return bytes;
}

std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *target)
{
    const absl::string_view line(data, size * count);
    const absl::string_view name = "jackdawweir-version:";
    if (absl::StartsWithIgnoreCase(line, name)) {
        const absl::string_view value = absl::StripAsciiWhitespace(line.substr(name.size()));
        static_cast<std::string *>(target)->assign(value.data(), value.size());
    }
    return size * count;
}

struct list_deleter {
    void operator()(curl_slist *list) const
    {
        curl_slist_free_all(list);
    }
};

struct handle_deleter {
    void operator()(CURL *handle) const
    {
        curl_easy_cleanup(handle);
    }
};

bool hasSentBytes(CURL *handle)
{
    long bytes = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &bytes);
    return bytes > 0;
}

std::unique_ptr<curl_slist, list_deleter> headerList(const http_call &call)
{
    // An empty Expect header keeps curl from waiting for "100 Continue" before it sends the body.
    curl_slist *list = curl_slist_append(nullptr, "Expect:");
    for (const std::string &header : call.headers) {
        list = curl_slist_append(list, header.c_str());
    }
    return std::unique_ptr<curl_slist, list_deleter>(list);
}

void setOptions(CURL *handle, const http_call &call, curl_slist *headers, http_reply &reply)
{
    const std::string url = absl::StrCat("http://", call.server, call.path);
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &reply.body);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, onHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &reply.version);
    if (call.method != "GET") {
        curl_easy_setopt(
            handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.c_str());
    }
}

} // namespace

http_result callHttp(const http_call &call)
{
    const std::unique_ptr<CURL, handle_deleter> handle(curl_easy_init());
    if (handle == nullptr) {
        return http_failure{"libcurl cannot be initialised", false};
    }
    http_reply reply;
    const auto headers = headerList(call);
    setOptions(handle.get(), call, headers.get(), reply);
    const CURLcode code = curl_easy_perform(handle.get());
    if (code != CURLE_OK) {
        return http_failure{absl::StrCat(call.server, ": ", curl_easy_strerror(code)),
                            hasSentBytes(handle.get())};
    }
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &reply.status);
    return reply;
}

} // namespace jackdawweir::cli
