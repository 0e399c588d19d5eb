// Builds HTML text. Markup can only be given as string literals; all other values are escaped.
//
//     html_writer page;
//     page.markup("<td>").text(service.name.value).markup("</td>");

#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace jackdawweir::console::internal {

// Escapes the characters that HTML treats as markup, so that the text can be used in an element or
// in a quoted attribute.
std::string escapeHtml(std::string_view text);

class html_writer
{
public:
    template<std::size_t Size>
    html_writer &markup(const char (&literal)[Size])
    {
        m_html.append(literal, Size - 1);
        return *this;
    }

    html_writer &text(std::string_view value);

    // Writes an input with a label. `type` and `name` are literals.
    html_writer &
    input(const char *label, const char *type, std::string_view name, std::string_view value);

    html_writer &hidden(std::string_view name, std::string_view value);

    // Returns the HTML and leaves the writer empty.
    std::string take();

private:
    std::string m_html;
};

} // namespace jackdawweir::console::internal
