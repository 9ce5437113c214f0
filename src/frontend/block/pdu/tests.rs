//! Unit tests of the PDU codec.

use super::*;

const PLAIN: Codec = Codec { header_digest: false, data_digest: false, max_data_segment: 100 };
const DIGESTS: Codec = Codec { header_digest: true, data_digest: true, max_data_segment: 100 };

#[test]
fn decodes_an_encoded_pdu_only_once_its_last_byte_has_arrived() {
    for codec in [PLAIN, DIGESTS] {
        let pdu = Pdu::new(response::NOP_IN, 0x80, 7).with_u32(20, NO_TAG).with_data(&b"abcde"[..]);
        let mut out = BytesMut::new();
        codec.encode(&pdu, &mut out);
        let mut buffer = BytesMut::new();
        for byte in &out[..out.len() - 1] {
            buffer.extend_from_slice(&[*byte]);
            assert_eq!(codec.decode(&mut buffer), Ok(None));
        }
        buffer.extend_from_slice(&out[out.len() - 1..]);
        let read = codec.decode(&mut buffer).expect("valid PDU").expect("complete PDU");
        assert_eq!((read.task(), read.u32_at(20), &read.data[..]), (7, NO_TAG, &b"abcde"[..]));
        assert!(buffer.is_empty());
    }
}

#[test]
fn rejects_flipped_bits_and_oversized_data_segments() {
    let mut out = BytesMut::new();
    DIGESTS.encode(&Pdu::new(response::NOP_IN, 0x80, 7).with_data(&b"abcd"[..]), &mut out);
    let flipped = |at: usize| {
        let mut copy = out.clone();
        copy[at] ^= 1;
        DIGESTS.decode(&mut copy)
    };
    assert_eq!(flipped(17), Err(PduError::HeaderDigest));
    assert!(matches!(flipped(53), Err(PduError::DataDigest(_))));
    let long = Pdu::new(response::NOP_IN, 0, 0).with_data(vec![0; 101]);
    let mut out = BytesMut::new();
    PLAIN.encode(&long, &mut out);
    assert_eq!(PLAIN.decode(&mut out), Err(PduError::TooLong(101)));
}

#[test]
fn crc32c_matches_the_test_vector_of_the_rfc() {
    // CRC example in the appendix of RFC 7143: 32 bytes of zeros.
    assert_eq!(crc32c::crc32c(&[0; 32]).to_le_bytes(), [0xaa, 0x36, 0x91, 0x8a]);
}
