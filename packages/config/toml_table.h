// Reads and validates a TOML table. Each error is recorded with file, line and
// reason, so that all errors of a document are reported at once.

#ifndef BRONZECROSS_CONFIG_TOML_TABLE_H_
#define BRONZECROSS_CONFIG_TOML_TABLE_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

namespace bronzecross {

// The errors of one document, each as "file:line: reason".
class TomlErrors {
 public:
  explicit TomlErrors(std::string_view file) : m_file(file) {}

  void Add(const toml::node& node, std::string_view reason);
  void AddAtLine(uint32_t line, std::string_view reason);
  bool empty() const { return m_errors.empty(); }
  std::string Join() const;

 private:
  std::string m_file;
  std::vector<std::string> m_errors;
};

class TomlTable {
 public:
  // `table` and `errors` must outlive this object.
  TomlTable(const toml::table& table, TomlErrors& errors)
      : m_table(table), m_errors(errors) {}

  std::string RequireString(std::string_view name);
  std::string GetString(std::string_view name, std::string_view fallback);
  int64_t GetInt(std::string_view name,
                 int64_t fallback,
                 int64_t lowest,
                 int64_t highest);
  double GetDouble(std::string_view name,
                   double fallback,
                   double lowest,
                   double highest);
  bool GetBool(std::string_view name, bool fallback);
  std::vector<std::string> GetStrings(std::string_view name);
  // Returns the table `name`, or an empty one.
  const toml::table& GetTable(std::string_view name);
  // Returns the names of all keys.
  std::vector<std::string> GetNames() const;
  // Returns the tables of the array `name`, or none.
  std::vector<const toml::table*> GetTables(std::string_view name);

  // Records an error for each key that was never read.
  void Finish();
  void AddError(std::string_view name, std::string_view reason);

 private:
  const toml::node* Find(std::string_view name);

  const toml::table& m_table;
  TomlErrors& m_errors;
  std::set<std::string, std::less<>> m_read_keys;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_CONFIG_TOML_TABLE_H_
