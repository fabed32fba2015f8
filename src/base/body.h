#pragma once

#include <cstddef>
#include <memory>
#include <ostream>
#include <string>
#include <utility>

namespace persimmonfield {

// The body of a request, which never changes. Copies share the bytes, and what is kept with them ends with
// the last copy.
class Body {
public:
    Body() = default;
    Body(std::string text) // NOLINT(google-explicit-constructor)
        : Body(std::move(text), nullptr)
    {
    }
    Body(const char* text) // NOLINT(google-explicit-constructor)
        : Body(std::string(text))
    {
    }
    // Keeps `attached` as long as the bytes.
    Body(std::string text, std::shared_ptr<void> attached)
        : content_(std::make_shared<Content>(Content { std::move(text), std::move(attached) }))
    {
    }

    operator const std::string&() const { return text(); } // NOLINT(google-explicit-constructor)
    const std::string& text() const
    {
        static const std::string empty;
        return content_ ? content_->text : empty;
    }

    size_t size() const { return text().size(); }
    bool empty() const { return text().empty(); }
    const char* data() const { return text().data(); }
    auto begin() const { return text().begin(); }
    auto end() const { return text().end(); }

    friend bool operator==(const Body& left, const Body& right) { return left.text() == right.text(); }
    friend bool operator!=(const Body& left, const Body& right) { return !(left == right); }
    friend std::ostream& operator<<(std::ostream& stream, const Body& body) { return stream << body.text(); }

private:
    struct Content {
        std::string text;
        std::shared_ptr<void> attached;
    };

    std::shared_ptr<const Content> content_;
};

}
