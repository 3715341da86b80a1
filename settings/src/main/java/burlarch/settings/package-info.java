/**
 * Settings that operators keep in TOML files. {@link burlarch.settings.SettingsFile} is one file,
 * {@link burlarch.settings.SettingsSection} one of its tables with typed getters. A getter throws
 * {@link burlarch.settings.SettingsException}, whose message names file and key; callers that want every error at once
 * read through {@link burlarch.settings.SettingsErrorCollector}.
 *
 * <p>A file is read once, by the thread that starts the program; nothing here is safe for use by several threads.
 */
package burlarch.settings;
