//! Id types, one for each kind of thing. An id stands for its identity only.

macro_rules! ids {
    ($($name:ident($inner:ty);)*) => {$(
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    CommandId(u32);
    BackendId(u32);
    ZoneId(u16);
    BackendTypeId(u8);
    GroupId(u16);
    ProfileId(u16);
    // The index under which the caller keeps a command, chosen by the caller.
    CommandHandle(u32);
}
