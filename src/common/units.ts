/** Milliseconds in a second. */
export const millisecondsPerSecond = 1_000;
/** Milliseconds in a minute. */
export const millisecondsPerMinute = 60_000;
/** Milliseconds in an hour. */
export const millisecondsPerHour = 3_600_000;
/** Bytes in a kibibyte. */
export const bytesPerKibibyte = 1_024;
/** Bytes in a mebibyte. */
export const bytesPerMebibyte = 1_048_576;
