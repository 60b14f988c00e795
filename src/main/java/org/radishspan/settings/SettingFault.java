package org.radishspan.settings;

/**
 * One thing that is wrong with a settings file.
 *
 * @param section the section
 * @param key the key; empty if the section itself is wrong
 * @param line the line, from 1; 0 if there is none
 * @param message what is wrong and what is allowed
 */
public record SettingFault(String section, String key, int line, String message) {
    @Override
    public String toString() {
        String place = key.isEmpty() ? "[" + section + "]" : "[" + section + "] " + key;
        return (line > 0 ? "line " + line + ": " : "") + place + ": " + message;
    }
}
