/**
 * HTTP server and client on Netty's codec.
 */
@NullMarked
package org.radishspan.http;

import org.jspecify.annotations.NullMarked;
