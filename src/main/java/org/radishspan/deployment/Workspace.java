package org.radishspan.deployment;

import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

/**
 * A workspace, on whose behalf callers send requests, with its keys and its prepaid budget.
 *
 * @param name the name of the workspace and of its budget
 * @param callerKeys the keys with which callers identify themselves
 * @param priority overrides the priority of routes if present
 * @param prepaidTokens the total number of tokens that the workspace may ever use; unlimited if empty
 * @param allowedRegions the regions whose targets may receive its requests; empty if all may
 */
public record Workspace(
        String name,
        List<String> callerKeys,
        OptionalInt priority,
        OptionalLong prepaidTokens,
        Set<String> allowedRegions) {}
