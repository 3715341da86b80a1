/**
 * Reads settings from TOML files. {@link burlarch.settings.SettingsFile} represents one file,
 * {@link burlarch.settings.SettingsSection} one of its tables, with typed getters. A getter throws
 * {@link burlarch.settings.SettingsException}, whose message names file and key; callers that report every error at
 * once read through {@link burlarch.settings.SettingsErrorCollector}.
 *
 * <p>A file is read once, by the thread that starts the program; the classes of this package are not thread-safe.
 */
package burlarch.settings;
