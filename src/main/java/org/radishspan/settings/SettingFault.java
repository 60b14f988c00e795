package org.radishspan.settings;

/**
 * One error in a settings file.
 *
 * @param section the name of the section
 * @param key the key; empty if the error concerns the section itself
 * @param line the line number, from 1; 0 if it is not known
 * @param message the error and the allowed values
 */
public record SettingFault(String section, String key, int line, String message) {
    @Override
    public String toString() {
        String location = key.isEmpty() ? "[" + section + "]" : "[" + section + "] " + key;
        return (line > 0 ? "line " + line + ": " : "") + location + ": " + message;
    }
}
