/**
 * HTTP server and client based on Netty's codec, and the JSON bodies that they exchange.
 */
@NullMarked
package org.radishspan.http;

import org.jspecify.annotations.NullMarked;
