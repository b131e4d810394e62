package org.orioleshed.model;

/**
 * The id of an accepted request. Unique across hosts and restarts, unlike the caller's {@link
 * RequestKey}.
 *
 * @param host the entry host that accepted the request
 * @param incarnation the host's incarnation, which increases with each start
 * @param sequence the request's number within the incarnation
 */
public record RequestId(HostId host, long incarnation, long sequence) {
    /** Checks the arguments. */
    public RequestId {
        if (host == null) {
            throw new IllegalArgumentException("host must be given");
        }
    }

    @Override
    public String toString() {
        return host + "." + incarnation + "." + sequence;
    }

    /**
     * Parses the format of {@link #toString}.
     *
     * @throws IllegalArgumentException if {@code text} is not in that format
     */
    public static RequestId parse(String text) {
        int last = text.lastIndexOf('.');
        int middle = text.lastIndexOf('.', last - 1);
        if (last < 0 || middle < 1) {
            throw new IllegalArgumentException(
                    "request id must be HOST.INCARNATION.SEQUENCE, found " + text);
        }
        return new RequestId(
                new HostId(text.substring(0, middle)),
                Long.parseLong(text.substring(middle + 1, last)),
                Long.parseLong(text.substring(last + 1)));
    }
}
