#include "config/toml_table.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace bronzecross {

void TomlErrors::Add(const toml::node& node, std::string_view reason) {
  AddAtLine(node.source().begin.line, reason);
}

void TomlErrors::AddAtLine(uint32_t line, std::string_view reason) {
  m_errors.push_back(
      absl::StrCat(m_file, ":", line, ": ", std::string(reason)));
}

std::string TomlErrors::Join() const {
  return absl::StrJoin(m_errors, "\n");
}

const toml::node* TomlTable::Find(std::string_view name) {
  m_read_keys.emplace(name);
  return m_table.get(name);
}

void TomlTable::AddError(std::string_view name, std::string_view reason) {
  const toml::node* node = m_table.get(name);
  m_errors.Add(
      node != nullptr ? *node : m_table,
      absl::StrCat("\"", std::string(name), "\" ", std::string(reason)));
}

std::string TomlTable::RequireString(std::string_view name) {
  if (Find(name) == nullptr) {
    AddError(name, "is missing");
    return "";
  }
  const std::string value = GetString(name, "");
  if (value.empty() && m_table.get(name)->is_string()) {
    AddError(name, "must not be empty");
  }
  return value;
}

std::string TomlTable::GetString(std::string_view name,
                                 std::string_view fallback) {
  const toml::node* node = Find(name);
  if (node == nullptr) {
    return std::string(fallback);
  }
  if (!node->is_string()) {
    AddError(name, "must be a string");
    return std::string(fallback);
  }
  return node->as_string()->get();
}

int64_t TomlTable::GetInt(std::string_view name,
                          int64_t fallback,
                          int64_t lowest,
                          int64_t highest) {
  const toml::node* node = Find(name);
  if (node == nullptr) {
    return fallback;
  }
  if (!node->is_integer()) {
    AddError(name, "must be a whole number");
    return fallback;
  }
  const int64_t value = node->as_integer()->get();
  if (value < lowest || value > highest) {
    AddError(name, absl::StrCat("must lie between ", lowest, " and ", highest));
    return fallback;
  }
  return value;
}

double TomlTable::GetDouble(std::string_view name,
                            double fallback,
                            double lowest,
                            double highest) {
  const toml::node* node = Find(name);
  if (node == nullptr) {
    return fallback;
  }
  if (!node->is_number()) {
    AddError(name, "must be a number");
    return fallback;
  }
  const double value = node->value<double>().value_or(fallback);
  if (!(value >= lowest && value <= highest)) {
    AddError(name, absl::StrCat("must lie between ", lowest, " and ", highest));
    return fallback;
  }
  return value;
}

bool TomlTable::GetBool(std::string_view name, bool fallback) {
  const toml::node* node = Find(name);
  if (node == nullptr) {
    return fallback;
  }
  if (!node->is_boolean()) {
    AddError(name, "must be true or false");
    return fallback;
  }
  return node->as_boolean()->get();
}

std::vector<std::string> TomlTable::GetStrings(std::string_view name) {
  std::vector<std::string> values;
  const toml::node* node = Find(name);
  if (node == nullptr) {
    return values;
  }
  if (!node->is_array()) {
    AddError(name, "must be a list of strings");
    return values;
  }
  for (const toml::node& element : *node->as_array()) {
    if (!element.is_string()) {
      AddError(name, "must be a list of strings");
      return values;
    }
    values.push_back(element.as_string()->get());
  }
  return values;
}

const toml::table& TomlTable::GetTable(std::string_view name) {
  static const toml::table kEmpty;
  const toml::node* node = Find(name);
  if (node == nullptr) {
    return kEmpty;
  }
  if (!node->is_table()) {
    AddError(name, "must be a table");
    return kEmpty;
  }
  return *node->as_table();
}

std::vector<std::string> TomlTable::GetNames() const {
  std::vector<std::string> names;
  for (auto entry = m_table.begin(); entry != m_table.end(); ++entry) {
    names.emplace_back(entry->first.str());
  }
  return names;
}

std::vector<const toml::table*> TomlTable::GetTables(std::string_view name) {
  std::vector<const toml::table*> tables;
  const toml::node* node = Find(name);
  if (node == nullptr) {
    return tables;
  }
  if (!node->is_array()) {
    AddError(name, "must be an array of tables");
    return tables;
  }
  for (const toml::node& element : *node->as_array()) {
    if (!element.is_table()) {
      AddError(name, "must be an array of tables");
      return tables;
    }
    tables.push_back(element.as_table());
  }
  return tables;
}

void TomlTable::Finish() {
  for (const auto& [key, node] : m_table) {
    if (!m_read_keys.contains(key.str())) {
      m_errors.Add(node, absl::StrCat("\"", std::string(key.str()),
                                      "\" is not a known key"));
    }
  }
}

}  // namespace bronzecross
