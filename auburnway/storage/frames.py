"""Checksummed frames, the unit in which files are written and verified."""

import struct
import zlib

import msgpack

MAGIC = b"AWF1"
# Magic, CRC-32 of all bytes after the checksum, sequence number, payload
# length.
_HEADER = struct.Struct(">4sIQI")
_CHECKSUMMED_OFFSET = 8


def encode(sequence: int, payload) -> bytes:
    """Encodes one frame.

    Args:
      sequence: Sequence number of the frame in its file, from 0.
      payload: Value that msgpack can encode.
    """
    body = msgpack.packb(payload)
    header = _HEADER.pack(MAGIC, 0, sequence, len(body))
    checksum = zlib.crc32(header[_CHECKSUMMED_OFFSET:] + body)
    return _HEADER.pack(MAGIC, checksum, sequence, len(body)) + body


def decode(data: bytes, offset: int):
    """Decodes the frame at an offset.

    Args:
      data: Content of a file.
      offset: Offset of the first byte of the frame.

    Returns:
      (sequence, payload, end offset), or None when there is no complete frame
      with a valid checksum at the offset.
    """
    if len(data) < offset + _HEADER.size:
        return None
    magic, checksum, sequence, size = _HEADER.unpack_from(data, offset)
    end = offset + _HEADER.size + size
    if magic != MAGIC or end > len(data):
        return None
    if zlib.crc32(data[offset + _CHECKSUMMED_OFFSET : end]) != checksum:
        return None
    payload = msgpack.unpackb(data[offset + _HEADER.size : end])
    return sequence, payload, end


def has_frame_after(data: bytes, offset: int, sequence: int) -> bool:
    """Whether a valid frame with a greater sequence number starts after offset.

    Args:
      data: Content of a file.
      offset: Offset after which frames are searched.
      sequence: Sequence number that the frame must exceed.
    """
    position = data.find(MAGIC, offset + 1)
    while position >= 0:
        frame = decode(data, position)
        if frame is not None and frame[0] > sequence:
            return True
        position = data.find(MAGIC, position + 1)
    return False
