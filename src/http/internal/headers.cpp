#include "http/headers.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace papayarack::http {
namespace {

char Lower(char letter) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

/// Calls `visit` with each trimmed element of a comma-separated value.
template <typename Visit>
void ForEachToken(std::string_view value, const Visit& visit) {
  while (!value.empty()) {
    const std::size_t comma = value.find(',');
    visit(Trim(value.substr(0, comma)));
    value.remove_prefix(comma == std::string_view::npos ? value.size()
                                                        : comma + 1);
  }
}

constexpr std::array<std::string_view, 7> kConnectionFields = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade"};

}  // namespace

bool SameName(std::string_view one, std::string_view other) {
  return one.size() == other.size() &&
         std::equal(one.begin(), one.end(), other.begin(),
                    [](char a, char b) { return Lower(a) == Lower(b); });
}

void Headers::Add(std::string_view name, std::string_view value) {
  this->list.push_back({std::string(name), std::string(value)});
}

void Headers::Set(std::string_view name, std::string_view value) {
  this->Remove(name);
  this->Add(name, value);
}

void Headers::Remove(std::string_view name) {
  std::erase_if(this->list, [name](const Header& field) {
    return SameName(field.name, name);
  });
}

std::optional<std::string_view> Headers::Find(std::string_view name) const {
  for (const Header& field : this->list) {
    if (SameName(field.name, name)) {
      return field.value;
    }
  }
  return std::nullopt;
}

std::string_view Headers::Get(std::string_view name) const {
  return this->Find(name).value_or(std::string_view());
}

bool Headers::ListsToken(std::string_view name, std::string_view token) const {
  bool found = false;
  for (const Header& field : this->list) {
    if (SameName(field.name, name)) {
      ForEachToken(field.value, [&](std::string_view listed) {
        found = found || SameName(listed, token);
      });
    }
  }
  return found;
}

void RemoveConnectionFields(Headers& headers) {
  std::vector<std::string> named;
  for (const Header& field : headers.fields()) {
    if (SameName(field.name, "Connection")) {
      ForEachToken(field.value, [&named](std::string_view listed) {
        named.emplace_back(listed);
      });
    }
  }
  for (const std::string& name : named) {
    headers.Remove(name);
  }
  for (const std::string_view name : kConnectionFields) {
    headers.Remove(name);
  }
}

bool IsFieldName(std::string_view text) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::ranges::all_of(text, [kMarks](char letter) {
    return std::isalnum(static_cast<unsigned char>(letter)) != 0 ||
           kMarks.find(letter) != std::string_view::npos;
  });
}

bool IsFieldValue(std::string_view text) {
  return std::ranges::none_of(text, [](char letter) {
    return letter != '\t' &&
           std::iscntrl(static_cast<unsigned char>(letter)) != 0;
  });
}

bool IsRequestTarget(std::string_view text) {
  return text.starts_with('/') && std::ranges::all_of(text, [](char letter) {
           return std::isgraph(static_cast<unsigned char>(letter)) != 0;
         });
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stopped, error] = std::from_chars(text.data(), end, number);
  if (text.empty() || error != std::errc() || stopped != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace papayarack::http
