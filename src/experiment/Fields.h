#pragma once

#include "experiment/Json.h"

#include <set>

namespace siskinshunt {

/// Reads the members of an object in a configuration file and checks their types and ranges. Every key that is read counts as
/// known; finish() reports unknown keys. Only the first error is kept, as one line with file, key and allowed values.
class Fields {
public:
    Fields(const Json& object, std::string path, std::string& firstError);

    std::string text(const std::string& key, std::string_view defaultValue);
    std::string requiredText(const std::string& key);
    /// "IP:port" with the IP in 127.0.0.0/8.
    std::string address(const std::string& key, bool required = true);
    int64_t integer(const std::string& key, int64_t low, int64_t high, int64_t defaultValue);
    double number(const std::string& key, double low, double high, double defaultValue);
    bool flag(const std::string& key, bool defaultValue);
    TimeMs time(const std::string& key, int64_t low, int64_t high, TimeMs defaultValue);
    /// Items of an array; empty if the key is absent.
    const std::vector<Json>& items(const std::string& key);
    std::vector<std::string> texts(const std::string& key);
    const Json& member(const std::string& key);
    std::string pathOfKey(const std::string& key) const { return m_path + "." + key; }
    void report(const std::string& key, const std::string& allowed);
    void finish();

private:
    const Json& m_object;
    std::string m_path;
    std::string& m_error;
    std::set<std::string> m_known;
};

/// True for "IP:port" with the IP in 127.0.0.0/8.
bool isLocalAddress(std::string_view);

}
