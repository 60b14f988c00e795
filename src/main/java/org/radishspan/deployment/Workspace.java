package org.radishspan.deployment;

import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Who calls, and what they have paid for.
 *
 * @param name the workspace; its budget has the same name
 * @param callerKeys the keys that callers show
 * @param priority goes before the route's priority where present
 * @param prepaidTokens all tokens that the workspace may ever use; without a limit if empty
 */
public record Workspace(String name, List<String> callerKeys, OptionalInt priority, OptionalLong prepaidTokens) {}
