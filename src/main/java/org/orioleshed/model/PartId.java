package org.orioleshed.model;

/**
 * The id of a part of a prompt, which several requests may share.
 *
 * @param value all 64 bits of the id
 */
public record PartId(long value) {
    @Override
    public String toString() {
        return Long.toHexString(value);
    }
}
