package org.radishspan.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValidationUtil;
import io.netty.handler.codec.http.HttpHeaderValues;
import org.apache.commons.lang3.math.NumberUtils;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

/**
 * Checks the lines of one response against the grammar of RFC 9110 and RFC 9112, ahead of its decoder.
 *
 * <p>The decoder is lenient: it takes any number for the status, ends the name of a field at the first blank, and takes a
 * body of an unknown transfer coding as it is, for example. Whatever a server in trouble sends in such a form is not its
 * response: its status, its fields or the end of its body may be different ones.
 */
final class ResponseSyntax {
    private static final byte[] PROTOCOL = "HTTP/1.".getBytes(ISO_8859_1);
    private static final int STATUS_OFFSET = PROTOCOL.length + 2;
    private static final int STATUS_DIGITS = 3;
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int MAX_NUMBER_DIGITS = 15;
    private static final int RADIX_HEX = 16;
    private static final int DELETE = 0x7f;

    /** The result of a validation that found no invalid character. */
    private static final int VALID = -1;

    /** What the next bytes of a response are. */
    private enum Part {
        STATUS_LINE,
        FIELD_LINE,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILER_LINE,
        /** Bytes that need no check here: a body of a given length, or up to the end of the connection. */
        UNCHECKED
    }

    private Part part = Part.STATUS_LINE;
    private boolean olderVersion;
    private boolean lengthGiven;
    private boolean chunked;
    private long remainingChunkBytes;

    /**
     * Checks received bytes. Lines are checked once they are complete.
     *
     * @param from the index of the first byte that has not been checked before
     * @return the index after the last byte checked
     * @throws CorruptedFrameException if the bytes are not part of a response
     */
    int check(ByteBuf in, int from) {
        int at = from;
        while (at < in.writerIndex() && part != Part.UNCHECKED) {
            int next = part == Part.CHUNK_DATA ? skipChunkData(in, at) : checkNextLine(in, at);
            if (next == at) {
                return at;
            }
            at = next;
        }
        return part == Part.UNCHECKED ? in.writerIndex() : at;
    }

    private int skipChunkData(ByteBuf in, int from) {
        int skipped = (int) Math.min(remainingChunkBytes, in.writerIndex() - from);
        remainingChunkBytes -= skipped;
        if (remainingChunkBytes == 0) {
            part = Part.CHUNK_END;
        }
        return from + skipped;
    }

    /** Checks the line at an index; returns the index of the next one, or the same index if the line is incomplete. */
    private int checkNextLine(ByteBuf in, int from) {
        if (part == Part.STATUS_LINE) {
            checkProtocol(in, from);
        }
        int lineFeed = in.indexOf(from, in.writerIndex(), HttpConstants.LF);
        if (lineFeed < 0) {
            return from;
        }
        boolean carriageReturn = lineFeed > from && in.getByte(lineFeed - 1) == HttpConstants.CR;
        require(carriageReturn, "a line does not end with a carriage return and a line feed");
        checkLine(in.toString(from, lineFeed - 1 - from, ISO_8859_1));
        return lineFeed + 1;
    }

    private static void checkProtocol(ByteBuf in, int from) {
        int bytes = Math.min(PROTOCOL.length, in.writerIndex() - from);
        for (int i = 0; i < bytes; i++) {
            require(in.getByte(from + i) == PROTOCOL[i], "the response does not begin with a protocol version");
        }
    }

    private void checkLine(String line) {
        switch (part) {
            case STATUS_LINE -> checkStatusLine(line);
            case FIELD_LINE -> checkFieldLine(line);
            case CHUNK_SIZE -> checkChunkSize(line);
            case CHUNK_END -> checkChunkEnd(line);
            case TRAILER_LINE -> checkTrailerLine(line);
            default -> throw new IllegalStateException(part + " has no lines");
        }
    }

    private void checkStatusLine(String line) {
        int end = STATUS_OFFSET + STATUS_DIGITS;
        boolean versionValid = line.length() >= end
                && Character.isDigit(line.charAt(PROTOCOL.length))
                && line.charAt(PROTOCOL.length + 1) == ' ';
        require(versionValid, "the status line has no version or no status");
        String status = line.substring(STATUS_OFFSET, end);
        boolean threeDigits = NumberUtils.isDigits(status) && (line.length() == end || line.charAt(end) == ' ');
        require(threeDigits, "the status is not a number of three digits");
        int code = Integer.parseInt(status);
        require(code >= MIN_STATUS && code <= MAX_STATUS, "the status " + status + " is not between 100 and 599");
        require(code != SWITCHING_PROTOCOLS, "the server switches to a protocol that was not asked for");
        require(isText(line), "the status line holds a control character");
        olderVersion = line.charAt(PROTOCOL.length) == '0';
        part = Part.FIELD_LINE;
    }

    private void checkFieldLine(String line) {
        if (line.isEmpty()) {
            require(!lengthGiven || !chunked, "the response has both a length and chunks");
            part = chunked ? Part.CHUNK_SIZE : Part.UNCHECKED;
            return;
        }
        String name = fieldName(line);
        String value = line.substring(name.length() + 1).strip();
        if (HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name)) {
            require(!lengthGiven, "the response has several lengths");
            boolean wholeNumber = NumberUtils.isDigits(value) && value.length() <= MAX_NUMBER_DIGITS;
            require(wholeNumber, "the length is not a whole number");
            lengthGiven = true;
        }
        if (HttpHeaderNames.TRANSFER_ENCODING.contentEqualsIgnoreCase(name)) {
            boolean onlyChunks = !chunked && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(value);
            require(onlyChunks, "the body has another transfer coding than chunks");
            require(!olderVersion, "a response of HTTP/1.0 has chunks");
            chunked = true;
        }
    }

    private void checkChunkSize(String line) {
        int end = 0;
        long size = 0;
        while (end < line.length() && end < MAX_NUMBER_DIGITS && Character.digit(line.charAt(end), RADIX_HEX) >= 0) {
            size = size * RADIX_HEX + Character.digit(line.charAt(end), RADIX_HEX);
            end++;
        }
        String extension = line.substring(end).strip();
        boolean valid = end > 0 && (extension.isEmpty() || extension.startsWith(";"));
        require(valid, "the size of a chunk is not a number");
        require(isText(line), "the extension of a chunk holds a control character");
        remainingChunkBytes = size;
        part = size == 0 ? Part.TRAILER_LINE : Part.CHUNK_DATA;
    }

    private void checkChunkEnd(String line) {
        require(line.isEmpty(), "a chunk is longer than its size");
        part = Part.CHUNK_SIZE;
    }

    private void checkTrailerLine(String line) {
        if (line.isEmpty()) {
            part = Part.UNCHECKED;
            return;
        }
        fieldName(line);
    }

    /** Returns the name of the field in a line. A line that continues the one before it has no valid name. */
    private static String fieldName(String line) {
        int colon = line.indexOf(':');
        require(colon > 0, "a line has no field name");
        String name = line.substring(0, colon);
        require(
                HttpHeaderValidationUtil.validateToken(name) == VALID,
                "a field name holds a character that names may not hold");
        require(isText(line), "the field " + name + " holds a control character");
        return name;
    }

    /** Returns whether a text has no control characters but tabs. */
    private static boolean isText(String text) {
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            if (character == DELETE || (character < ' ' && character != '\t')) {
                return false;
            }
        }
        return true;
    }

    private static void require(boolean valid, String fault) {
        if (!valid) {
            throw new CorruptedFrameException(fault);
        }
    }
}
