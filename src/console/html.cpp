#include "console/html.h"

#include <utility>

namespace jackdawweir::console::internal {

std::string escapeHtml(std::string_view text)
{
    std::string escaped;
    escaped.reserve(text.size());
    for (const char character : text) {
        switch (character) {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        case '\'':
            escaped += "&#39;";
            break;
        default:
            escaped += character;
        }
    }
    return escaped;
}

html_writer &html_writer::text(std::string_view value)
{
    m_html += escapeHtml(value);
    return *this;
}

html_writer &html_writer::input(const char *label,
                                const char *type,
                                std::string_view name,
                                std::string_view value)
{
    markup("<p><label>").text(label).markup(" <input type=\"").text(type);
    markup("\" name=\"").text(name).markup("\" value=\"").text(value);
    return markup("\"></label></p>\n");
}

html_writer &html_writer::hidden(std::string_view name, std::string_view value)
{
    markup("<input type=\"hidden\" name=\"").text(name).markup("\" value=\"").text(value);
    return markup("\">\n");
}

std::string html_writer::take()
{
    return std::move(m_html);
}

} // namespace jackdawweir::console::internal
