#pragma once

#include "profiles/ProfileDocument.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <yaml-cpp/yaml.h>

namespace nutmegrock::profiles {

/// Walks the nodes of one profile document and collects the set and the faults.
class DocumentCheck
{
public:
  /// Reads the root node of the document.
  ProfileDocument::Outcome Run(const YAML::Node& aRoot);

private:
  /// Reads the value of one key of a map.
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
  /// A map of names chosen by operators to nodes.
  void ReadNamed(const std::string& aPath,
                 const YAML::Node& aNode,
                 const std::function<void(const std::string& aName,
                                          const YAML::Node& aValue)>& aRead);
  /// A map of the keys in aFields. False when the node is not a map.
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
  /// Names of the profiles in the document, also of those with faults, so that
  /// a service naming one of them is no further fault.
  std::set<std::string, std::less<>> mNamed;
};

} // namespace nutmegrock::profiles
