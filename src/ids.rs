//! Every kind of id is a type of its own. Ids tell nothing beyond identity.

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
    CommandHandle(u32);
}
