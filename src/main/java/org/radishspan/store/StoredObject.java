package org.radishspan.store;

/**
 * One version of an object, as the platform's object API returns it.
 *
 * @param version the version; {@link #ABSENT_VERSION} if the object does not exist
 * @param value the bytes of the object
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredObject(long version, byte[] value) {
    /** The version of an object that does not exist. */
    public static final long ABSENT_VERSION = 0;

    /** The value that stands for an object that does not exist. */
    public static final StoredObject ABSENT = new StoredObject(ABSENT_VERSION, new byte[0]);
}
