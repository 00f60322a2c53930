#pragma once

#include "profiles/ProfileDocument.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <yaml-cpp/yaml.h>

namespace nutmegrock::profiles {

/// Walks the nodes of a profile document and collects the profile set and the
/// faults.
class DocumentCheck
{
public:
  /// Reads the root node of the document.
  ProfileDocument::Outcome Run(const YAML::Node& aRoot);

private:
  /// Reads the value of one map key.
  using Reader =
    std::function<void(const std::string& aPath, const YAML::Node& aValue)>;
  struct Field
  {
    std::string mName;
    bool mRequired;
    Reader mRead;
  };

  void ReadProfile(const std::string& aName, const YAML::Node& aNode);
  void ReadService(const std::string& aName, const YAML::Node& aNode);
  void ReadAllowed(const std::string& aPath,
                   const YAML::Node& aNode,
                   ServiceRule& aRule);
  /// Reads a map whose keys are names chosen by operators.
  void ReadMap(const std::string& aPath,
               const YAML::Node& aNode,
               const std::function<void(const std::string& aName,
                                        const YAML::Node& aValue)>& aRead);
  /// Reads a map with the keys in aFields. Returns false if the node is not a
  /// map.
  bool ReadFields(const std::string& aPath,
                  const YAML::Node& aNode,
                  const std::vector<Field>& aFields);
  std::optional<std::int64_t> ReadInteger(const std::string& aPath,
                                          const YAML::Node& aNode,
                                          std::int64_t aMin,
                                          std::int64_t aMax);
  std::optional<bool> ReadBoolean(const std::string& aPath,
                                  const YAML::Node& aNode);
  std::optional<std::string> ReadText(const std::string& aPath,
                                      const YAML::Node& aNode);
  void CheckProfileExists(const std::string& aPath,
                          const YAML::Node& aNode,
                          const std::string& aName);
  void AddFault(const YAML::Node& aNode,
                const std::string& aKey,
                std::string aMessage);

  ProfileDocument::Outcome mOutcome;
  /// Names of the profiles in the document, including those with faults, so
  /// that a service that names one of them is not a further fault.
  std::set<std::string, std::less<>> mProfileNames;
};

} // namespace nutmegrock::profiles
