#include "config/toml.h"

#include <cstdio>
#include <cstring>
#include <exception>
#include <sstream>
#include <string>
#include <toml.hpp>

namespace
{

json_t *convert(const toml::value &value);

json_t *convert_table(const toml::value &value)
{
	json_t *object = json_object();
	json_t *lines = json_object();

	for (const auto &entry : value.as_table()) {
		const std::string &key = entry.first;
		const toml::value &child = entry.second;

		json_object_set_new(object, key.c_str(), convert(child));
		json_object_set_new(lines, key.c_str(),
				    json_integer(child.location().line()));
	}
	json_object_set_new(object, "@lines", lines);
	return object;
}

json_t *convert(const toml::value &value)
{
	if (value.is_table())
		return convert_table(value);
	if (value.is_array()) {
		json_t *array = json_array();

		for (const auto &child : value.as_array())
			json_array_append_new(array, convert(child));
		return array;
	}
	if (value.is_string())
		return json_string(value.as_string().str.c_str());
	if (value.is_integer())
		return json_integer(value.as_integer());
	if (value.is_floating())
		return json_real(value.as_floating());
	if (value.is_boolean())
		return json_boolean(value.as_boolean());
	/* No key takes a date. Keys of other types reject it as a string. */
	std::ostringstream text;
	text << value;
	return json_string(text.str().c_str());
}

/* Writes toml11's message, which spans several lines, as one line. */
void write_error(const std::exception &e, char *err, size_t err_len)
{
	std::string text = e.what();

	for (char &c : text) {
		if (c == '\n')
			c = ' ';
	}
	snprintf(err, err_len, "%s", text.c_str());
}

} // namespace

extern "C" json_t *mh_toml_parse(const char *text, size_t len, const char *name,
				 char *err, size_t err_len)
{
	try {
		std::istringstream in(std::string(text, len));

		return convert(toml::parse(in, name));
	} catch (const std::exception &e) {
		write_error(e, err, err_len);
		return nullptr;
	}
}
